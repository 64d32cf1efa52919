package test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/lab"
)

// pipeline is a caller's connection on which several requests are sent before the first
// response is read.
type pipeline struct {
	*testCluster
	conn   net.Conn
	reader *bufio.Reader
}

// pipelinedRequest is a request of a pipeline; closes asks to close the connection after it.
type pipelinedRequest struct {
	id     string
	work   time.Duration
	closes bool
}

func (x *testCluster) newPipeline() *pipeline {
	x.Helper()
	c, err := net.Dial("tcp", x.cluster.Boxes[0].Entry)
	x.must(err)
	x.Cleanup(func() { c.Close() })
	x.must(c.SetDeadline(time.Now().Add(waitTimeout)))
	return &pipeline{testCluster: x, conn: c, reader: bufio.NewReader(c)}
}

// send writes all requests at once.
func (p *pipeline) send(requests ...pipelinedRequest) {
	p.Helper()
	text := strings.Builder{}
	for _, r := range requests {
		fmt.Fprintf(&text, "GET / HTTP/1.1\r\nHost: repeatable.test\r\nX-Request-Id: %s\r\nX-Answer-Bytes: 5000\r\nX-Work-Us: %d\r\n", r.id, r.work.Microseconds())
		if r.closes {
			text.WriteString("Connection: close\r\n")
		}
		text.WriteString("\r\n")
	}
	_, err := p.conn.Write([]byte(text.String()))
	p.must(err)
}

// mustReceiveAnswer reads the next response, which must be the complete one to a request. It
// returns whether the connection stays open.
func (p *pipeline) mustReceiveAnswer(id string) bool {
	p.Helper()
	r := &fasthttp.Response{}
	p.must(r.Read(p.reader))
	if got := string(r.Header.Peek(lab.RequestHeader)); r.StatusCode() != fasthttp.StatusOK || got != id {
		p.Fatalf("the response for %s has status %d and id %q", id, r.StatusCode(), got)
	}
	if want := lab.AnswerBody(id, 5000); string(r.Body()) != string(want) {
		p.Fatalf("the response for %s has %d bytes, want %d, or differs", id, len(r.Body()), len(want))
	}
	return !r.ConnectionClose()
}

// mustBeClosed fails if the connection delivers more data.
func (p *pipeline) mustBeClosed() {
	p.Helper()
	if b, err := p.reader.ReadByte(); err == nil {
		p.Fatalf("the connection is still open and delivered %q", b)
	}
}

func newRequests(prefix string, n int, work time.Duration) []pipelinedRequest {
	list := make([]pipelinedRequest, n)
	for i := range list {
		list[i] = pipelinedRequest{id: fmt.Sprintf("%s-%d", prefix, i), work: work}
	}
	return list
}

func TestPipelinedRequestsAreAnsweredInTheirOrder(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 3})
	x.applySheets(nil)
	p := x.newPipeline()
	list := newRequests("ordered", 8, time.Millisecond)
	list[0].work = 300 * time.Millisecond
	p.send(list...)
	for _, r := range list {
		p.mustReceiveAnswer(r.id)
	}
}

func TestNothingBehindARequestThatClosesIsRun(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 3})
	x.applySheets(nil)
	p := x.newPipeline()
	list := newRequests("closing", 6, time.Millisecond)
	list[2].closes = true
	p.send(list...)
	for _, r := range list[:3] {
		p.mustReceiveAnswer(r.id)
	}
	p.mustBeClosed()
	x.mustHaveRun(list[:3], list[3:])
}

// mustHaveRun checks that targets ran some requests and none of the others.
func (x *testCluster) mustHaveRun(executed, others []pipelinedRequest) {
	x.Helper()
	runs := x.runs()
	for _, r := range executed {
		if runs[r.id] == 0 {
			x.Errorf("%s was answered but not run", r.id)
		}
	}
	for _, r := range others {
		if runs[r.id] != 0 {
			x.Errorf("%s was run though its connection had been closed", r.id)
		}
	}
}

func TestACallerThatLeavesItsPipelineFreesItsSlot(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 1})
	x.applySheets(nil)
	p := x.newPipeline()
	list := newRequests("leaving", 4, 0)
	list[1].work = 8 * time.Second
	p.send(list...)
	p.mustReceiveAnswer(list[0].id)
	p.conn.Close()
	x.must(lab.Eventually(waitTimeout, func() error {
		d, err := x.cluster.Boxes[0].Dump()
		if err == nil && d.Entry.Routing.Calls != 0 {
			err = fmt.Errorf("%d calls are in flight", d.Entry.Routing.Calls)
		}
		return err
	}))
	next := x.newPipeline()
	next.send(pipelinedRequest{id: "after", work: time.Millisecond})
	next.mustReceiveAnswer("after")
}

func TestAPlannedStopEndsPipelinesBetweenRequests(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 2, targets: 3})
	x.applySheets(nil)
	p := x.newPipeline()
	list := newRequests("stopping", 8, 200*time.Millisecond)
	p.send(list...)
	p.mustReceiveAnswer(list[0].id)
	x.cluster.Boxes[0].Process.Terminate()
	answered := 1
	for keepAlive := true; keepAlive && answered < len(list); answered++ {
		keepAlive = p.mustReceiveAnswer(list[answered].id)
	}
	p.mustBeClosed()
	x.mustHaveRun(list[:answered], list[answered:])
}
