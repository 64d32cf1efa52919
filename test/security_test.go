package test

import (
	"path/filepath"
	"testing"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/transport"
	"github.com/madderpond/madderpond/pkg/wire"
)

// withCertificates gives each process a certificate for its box.
func withCertificates(t *testing.T, a *lab.Authority) func(*config.Settings) {
	return func(s *config.Settings) {
		certificate, key, err := a.Sign(s.Box)
		if err != nil {
			t.Fatal(err)
		}
		s.Peer.Certificate, s.Peer.Key, s.Peer.Authority = certificate, key, a.File
	}
}

func newAuthority(t *testing.T, name string) *lab.Authority {
	t.Helper()
	a, err := lab.NewAuthority(t.TempDir(), name)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestProcessesProveThemselvesToEachOther(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 2, targets: 1, adjust: withCertificates(t, ours)})
	x.applySheets(nil)
	x.callAll(60, 4, mixedPlan)
	x.mustBeClean()
	before := x.mustSetWeight("alpha", 1)
	leader := x.leader()

	load := func(a *lab.Authority, box string) *transport.Security {
		t.Helper()
		certificate, key, err := a.Sign(box)
		x.must(err)
		s, err := transport.LoadSecurity(certificate, key, ours.File)
		x.must(err)
		return s
	}
	scenarios := []struct {
		testName string
		security *transport.Security
		hello    *wire.Hello
	}{
		{"no certificate", nil, &wire.Hello{Replica: "control-1"}},
		{"another authority's certificate", load(theirs, "control-1"), &wire.Hello{Replica: "control-1"}},
		{"a box that calls itself a replica", load(ours, "box-1"), &wire.Hello{Replica: "control-1"}},
		{"a box that calls itself another", load(ours, "box-1"), &wire.Hello{Box: "box-2"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			conn, err := transport.Dial(leader.Peer, s.security, s.hello)
			if err != nil {
				return
			}
			defer conn.Close()
			// A higher term from an unauthenticated sender would end the leadership if it were accepted.
			conn.Send(&wire.Envelope{
				From: "control-1", To: leader.Settings.Box,
				Body: &wire.Envelope_AppendResponse{AppendResponse: &wire.AppendResponse{Term: 1 << 40}},
			})
			if _, err := conn.Receive(); err == nil {
				t.Fatal("the connection was served")
			}
		})
	}
	if term := x.termOf(leader); term >= 1<<40 {
		t.Fatalf("an unauthenticated sender raised the term to %d", term)
	}
	x.awaitInForce(x.mustSetWeight("alpha", 2))
	x.mustKeepEdit(before)
}

func TestACertificateThatCanNotBeUsedIsNamed(t *testing.T) {
	folder := t.TempDir()
	a := newAuthority(t, "a")
	certificate, key, err := a.Sign("b1")
	if err != nil {
		t.Fatal(err)
	}
	missing := filepath.Join(folder, "missing.pem")
	for _, files := range [][3]string{{missing, key, a.File}, {certificate, certificate, a.File}, {certificate, key, missing}, {certificate, key, key}} {
		if _, err := transport.LoadSecurity(files[0], files[1], files[2]); fault.KindOf(err) != fault.Settings {
			t.Errorf("%v: unexpected error %v", files, err)
		}
	}
}
