package test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/lab"
)

// runTool runs madderctl and returns its output and exit code.
func (x *testCluster) runTool(arguments ...string) (out string, code int) {
	x.Helper()
	var servers []string
	for _, n := range x.cluster.Replicas {
		servers = append(servers, "--server", n.Admin)
	}
	command := exec.Command(programs.tool, append(servers, arguments...)...)
	data, err := command.CombinedOutput()
	if command.ProcessState == nil {
		x.Fatalf("madderctl can't be run: %v", err)
	}
	return string(data), command.ProcessState.ExitCode()
}

// mustRunTool runs madderctl, which must exit with a code and print all the parts.
func (x *testCluster) mustRunTool(code int, parts []string, arguments ...string) string {
	x.Helper()
	out, got := x.runTool(arguments...)
	if got != code || !containsAll(out, parts...) {
		x.Fatalf("madderctl %v exited with code %d, want %d and output with %q; it printed:\n%s", arguments, got, code, parts, out)
	}
	return out
}

func (x *testCluster) writeFile(name, text string) string {
	x.Helper()
	path := filepath.Join(x.folder, name)
	x.must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestAnOperatorMovesWeightByTheTable(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1, targets: 2})
	services := x.writeFile("services.csv", "service,work,hosts\nshop,once,shop.test\n")
	rows := x.writeFile("rows.csv", fmt.Sprintf("service,target,address,weight\nshop,old,%s,100\nshop,new,%s,0\n", x.targets[0].Address, x.targets[1].Address))

	x.mustRunTool(6, []string{"put-service shop (new)", "put-row shop old"}, "table", "diff", "--services", services, "--rows", rows)
	x.mustRunTool(0, []string{"accepted"}, "table", "apply", "--services", services, "--rows", rows)
	x.mustRunTool(0, []string{"nothing to change"}, "table", "apply", "--services", services, "--rows", rows)
	x.mustRunTool(0, nil, "table", "diff", "--services", services, "--rows", rows)
	x.mustRunTool(0, []string{"accepted"}, "weight", "shop", "new", "50")
	x.mustRunTool(0, []string{"accepted"}, "limit", "shop", "new", "--in-flight", "6", "--rate", "2.5")
	x.mustRunTool(0, []string{"accepted"}, "leave", "shop", "old")
	x.mustRunTool(0, []string{"accepted"}, "table", "edit", "--set", "shop.deadline=3s", "--set", "shop/new.max_rate=0")
	x.mustRunTool(0, []string{"shop", "once", "3s"}, "services")
	x.mustRunTool(0, []string{"leaving", "50"}, "table", "get")
	x.mustRunTool(0, []string{`"maxInFlight": 6`}, "table", "get", "--json")
	x.mustRunTool(0, []string{"revision", "edit"}, "table", "history")
	x.must(x.cluster.AwaitReady(x.cluster.Boxes[0], waitTimeout))
	x.mustRunTool(0, []string{"leader", "box-1", "in force"}, "status")
	x.mustRunTool(0, []string{`"control"`, `"table"`}, "dump")
	x.mustRunTool(0, []string{"accepted"}, "table", "edit", "--set", "shop/new.domain=south", "--set", "shop.cold_rate=2.5")
	x.mustRunTool(0, []string{"south is evacuated"}, "evacuate", "south")
	x.mustRunTool(0, []string{"south", "evacuated"}, "evacuations")
	x.mustRunTool(0, []string{"the failure domain south is evacuated"}, "status")
	x.mustRunTool(0, []string{"south takes calls"}, "restore", "south")
	x.mustRunTool(0, []string{"south", "restored"}, "evacuations")
	x.mustRunTool(2, []string{"there is no failure domain north"}, "evacuate", "north")
	x.mustRunTool(2, []string{"is no failure domain"}, "evacuate", "No-Domain")
	x.mustRunTool(0, []string{"revision"}, "watch", "--count", "1")
	x.mustRunTool(0, []string{"complete -F"}, "completion")
	x.mustRunTool(0, []string{"madderctl weight SERVICE TARGET WEIGHT"}, "weight", "--help")

	x.mustRunTool(0, nil, "table", "get", "--services", services, "--rows", rows)
	x.mustRunTool(0, nil, "table", "diff", "--prune", "--services", services, "--rows", rows)
}

func TestMistakesOfAnOperatorAreNamed(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1})
	bad := x.writeFile("bad.csv", "service,target,address,weight\nshop,old,nowhere,heavy\n")
	x.mustRunTool(2, []string{"line 2, column weight"}, "table", "apply", "--rows", bad)
	x.mustRunTool(2, []string{"there is no service"}, "table", "edit", "--set", "shop.deadline=3s")
	x.mustRunTool(2, []string{"has no target"}, "weight", "shop", "old", "1")
	x.mustRunTool(2, []string{"Unknown command"}, "dance")
	x.mustRunTool(2, []string{"no sheet is named"}, "table", "apply")
	x.mustRunTool(2, []string{"formed already"}, "form")
	unreachable := exec.Command(programs.tool, "--server", "127.0.0.1:1", "--patience", "1ms", "table", "get")
	out, _ := unreachable.CombinedOutput()
	if code := unreachable.ProcessState.ExitCode(); code != 4 || !strings.Contains(string(out), "doesn't answer") {
		t.Fatalf("without a server madderctl exited with code %d:\n%s", code, out)
	}
}

func TestTheAdministrationAPIWantsItsToken(t *testing.T) {
	const token = "a-token-of-enough-length"
	folder := t.TempDir()
	file := filepath.Join(folder, "token")
	if err := os.WriteFile(file, []byte(token+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	x := &testCluster{T: t, folder: folder}
	t.Cleanup(x.stopProcesses)
	address, err := lab.FreeAddress()
	x.must(err)
	s := config.Defaults()
	s.Box, s.Roles = "c1", []config.Role{config.RoleControl}
	s.Peer.Listen = address
	s.Replicas = []config.Replica{{Box: "c1", Address: address}}
	s.Control.DataFolder = filepath.Join(folder, "data")
	s.Admin.TokenFile = file
	data, err := json.Marshal(s)
	x.must(err)
	p, err := lab.StartProcess("c1", programs.daemon, "--settings", x.writeFile("c1.json", string(data)), "--form")
	x.must(err)
	t.Cleanup(p.Kill)
	started, err := p.AwaitStarted(waitTimeout)
	x.must(err)

	scenarios := []struct {
		testName, method, path, token, body string
		status                              int
		kind                                string
	}{
		{"health needs no token", "GET", "/live", "", "", 200, ""},
		{"no token", "GET", "/v1/table", "", "", 401, "unauthorized"},
		{"a wrong token", "GET", "/v1/table", "a-token-of-enough-lengtH", "", 401, "unauthorized"},
		{"a part of the token", "GET", "/v1/table", token[:8], "", 401, "unauthorized"},
		{"the token", "GET", "/v1/table", token, "", 200, ""},
		{"an unknown address", "GET", "/v1/nothing", token, "", 404, "not-found"},
		{"a wrong method", "DELETE", "/v1/table", token, "", 400, "invalid"},
		{"junk for an edit", "POST", "/v1/edits", token, "junk", 400, "invalid"},
		{"an unknown field in an edit", "POST", "/v1/edits", token, `{"id": "x", "colour": 1}`, 400, "invalid"},
		{"two edits at once", "POST", "/v1/edits", token, `{"id": "x"} {"id": "y"}`, 400, "invalid"},
		{"an oversized body", "POST", "/v1/edits", token, strings.Repeat(" ", 9<<20), 413, "too-large"},
		{"metrics", "GET", "/debug/vars", token, "", 200, ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			request.SetRequestURI("http://" + started.Admin + s.path)
			request.Header.SetMethod(s.method)
			request.SetBodyString(s.body)
			if s.token != "" {
				request.Header.Set("Authorization", "Bearer "+s.token)
			}
			if err := fasthttp.DoTimeout(request, response, waitTimeout); err != nil {
				if s.testName == "an oversized body" {
					// The server may close the connection before it has read the whole body.
					return
				}
				t.Fatal(err)
			}
			if response.StatusCode() != s.status || s.kind != "" && !containsAll(string(response.Body()), `"title":"`+s.kind+`"`, `"remedy"`) {
				t.Fatalf("status %d: %s", response.StatusCode(), response.Body())
			}
		})
	}
}

func TestBrokenSettingsAreListed(t *testing.T) {
	x := &testCluster{T: t, folder: t.TempDir()}
	path := x.writeFile("bad.jsonc", `{"box": "X", "roles": ["entry"], "nonsense": 1, "entry": {"maxCalls": "many"}}`)
	for _, arguments := range [][]string{{"--settings", path, "--check"}, {"--settings", path}} {
		command := exec.Command(programs.daemon, arguments...)
		out, _ := command.CombinedOutput()
		if code := command.ProcessState.ExitCode(); code != 2 || !containsAll(string(out), "nonsense", "entry.maxCalls") {
			t.Fatalf("%v exited with code %d:\n%s", arguments, code, out)
		}
	}
}

func TestJunkOnThePortBetweenProcessesHarmsNobody(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1})
	before := x.mustSetWeight("alpha", 1)
	for _, n := range append(x.cluster.Replicas, x.cluster.Boxes...) {
		for _, junk := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\xff", 1<<16), ""} {
			c, err := net.DialTimeout("tcp", n.Peer, time.Second)
			x.must(err)
			fmt.Fprint(c, junk)
			c.Close()
		}
	}
	after := x.mustSetWeight("alpha", 2)
	x.awaitInForce(after)
	x.mustKeepEdit(before)
}

func TestTheDemoLosesDoublesAndConfusesNothing(t *testing.T) {
	summary, err := lab.RunDemo(lab.DemoSettings{
		Folder: t.TempDir(), Program: programs.daemon, LabProgram: programs.lab, Calls: 2000, Out: testWriter{t},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !summary.Clean() || summary.Complete < 1900 {
		t.Fatal(summary)
	}
}

type testWriter struct{ *testing.T }

// Write logs a line that the demo prints.
func (w testWriter) Write(p []byte) (int, error) {
	w.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}
