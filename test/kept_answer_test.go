package test

import (
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/sheet"
	"github.com/madderpond/madderpond/pkg/units"
)

// failingTargets are targets on an address each. The first send of a call gets a complete error
// response and every later send, to any of them, is broken off. Health checks are broken off too;
// they don't count as sends, since a box makes them whenever it has ejected a target.
type failingTargets struct {
	sends     atomic.Int64
	addresses []string
}

const (
	errorBody   = "the ledger is closed"
	failingPath = "/balance"
)

func startFailingTargets(x *testCluster, n int) *failingTargets {
	x.Helper()
	f := &failingTargets{}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		x.must(err)
		server := &fasthttp.Server{Handler: f.handle, CloseOnShutdown: true}
		go server.Serve(l)
		x.Cleanup(func() { l.Close() })
		f.addresses = append(f.addresses, l.Addr().String())
	}
	return f
}

func (f *failingTargets) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == failingPath && f.sends.Add(1) == 1 {
		ctx.Error(errorBody, fasthttp.StatusInternalServerError)
		return
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { c.Close() })
}

// sheets defines one repeatable service on those targets.
func (f *failingTargets) sheets() sheet.Sheets {
	v := sheet.NewService()
	v.Name, v.Work, v.Hosts = "balance", table.Repeatable, []string{"balance.test"}
	v.Deadline = 10 * time.Second
	s := sheet.Sheets{Services: []table.Service{v}}
	for i, address := range f.addresses {
		r := sheet.NewRow()
		r.Service, r.Target, r.Address = v.Name, units.TargetID(fmt.Sprintf("t%d", i)), address
		s.Rows = append(s.Rows, r)
	}
	return s
}

// A failed response that was received isn't discarded for a retry that gets no response.
func TestAFailedAnswerIsDeliveredWhenNothingBetterComes(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1})
	f := startFailingTargets(x, 3)
	box := x.cluster.Boxes[0]
	result, err := x.cluster.Apply(f.sheets())
	x.must(err)
	x.must(x.cluster.AwaitRevision(box, result.Revision, waitTimeout))
	x.must(x.cluster.AwaitReady(box, waitTimeout))
	for i := range 5 {
		f.sends.Store(0)
		status, body := x.get(box, "balance.test"+failingPath)
		if status != fasthttp.StatusInternalServerError || !bytes.Equal(body, []byte(errorBody)) {
			t.Errorf("call %d got status %d, body %q after %d sends", i, status, body, f.sends.Load())
		}
	}
}

// get makes one call to a host and path, and returns the status and body of the response.
func (x *testCluster) get(box *lab.Node, url string) (status int, body []byte) {
	x.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + url)
	client := fasthttp.HostClient{Addr: box.Entry, MaxIdemponentCallAttempts: 1}
	x.must(client.DoTimeout(request, response, waitTimeout))
	return response.StatusCode(), bytes.Clone(response.Body())
}
