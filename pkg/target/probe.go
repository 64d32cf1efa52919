package target

import (
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// Probe asks a target for its health and load, on a connection like a call's.
func (p *Pools) Probe(x *routing.Effect) routing.ProbeEnded {
	a := p.NewAttempt(x)
	defer a.Release()
	a.deadline = p.clock.Now().Add(p.settings.ConnectTimeout)
	a.Request.Header.SetMethod(fasthttp.MethodGet)
	a.Request.SetRequestURI(p.probePath(x))
	a.Request.Header.SetNoDefaultContentType(true)
	a.Request.Header.SetUserAgentBytes(nil)
	a.probe = true
	a.Request.Header.SetHost(string(x.Endpoint.Service))
	result, streaming := a.Run()
	ended := routing.ProbeEnded{
		Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, Report: a.Reading,
		Unreachable: result == routing.NotSent, Refused: a.Refused, Misdirected: a.fromAnother(),
		Answered: result == routing.Answered || result == routing.Failed || result == routing.Shed || result == routing.Misdirected,
	}
	if streaming {
		a.end()
		return ended
	}
	ended.Healthy = result == routing.Answered
	return ended
}

func (p *Pools) probePath(x *routing.Effect) string {
	if x.ProbePath != "" {
		return x.ProbePath
	}
	return p.settings.ProbePath
}

// fromAnother tells whether the answer names another target than the one asked.
func (a *Attempt) fromAnother() bool {
	header := a.pools.settings.TargetHeader
	if header == "" || !a.endpoint.Registered {
		return false
	}
	named := a.Response.Header.Peek(header)
	return len(named) > 0 && string(named) != string(a.endpoint.Target)
}
