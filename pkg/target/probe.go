package target

import (
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// Probe requests the health and load of a target, on a connection of the same pool as calls.
func (p *Pools) Probe(x *routing.Effect) routing.ProbeEnded {
	a := p.NewAttempt(x)
	defer a.Release()
	a.deadline = p.clock.Now().Add(p.settings.ConnectTimeout)
	a.Request.Header.SetMethod(fasthttp.MethodGet)
	a.Request.SetRequestURI(p.probePath(x))
	a.Request.Header.SetNoDefaultContentType(true)
	a.Request.Header.SetUserAgentBytes(nil)
	if x.ConnectOnly {
		return a.checkConnection(x)
	}
	a.isProbe = true
	a.newConnection = x.NewConnection
	a.Request.Header.SetHost(string(x.Endpoint.Service))
	result, streaming := a.Run()
	ended := routing.ProbeEnded{
		Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, SentAt: x.SentAt, Report: a.Report,
		Unreachable: result == routing.NotSent, Withheld: result == routing.Withheld, Refused: a.Refused, Misdirected: a.isFromOtherTarget(),
		Answered: result == routing.Answered || result == routing.Failed || result == routing.Shed || result == routing.Misdirected,
	}
	if streaming {
		a.finish()
		return ended
	}
	ended.Healthy = result == routing.Answered
	return ended
}

// checkConnection opens a connection, and keeps it for later calls.
func (a *Attempt) checkConnection(x *routing.Effect) routing.ProbeEnded {
	ended := routing.ProbeEnded{Target: x.Endpoint, Call: x.Call, Attempt: x.Attempt, SentAt: x.SentAt}
	a.newConnection = true
	c := a.connect(a.pools.clock.Until(a.deadline))
	if c == nil {
		ended.Unreachable, ended.Withheld, ended.Refused = !a.lacksDescriptor, a.lacksDescriptor, a.Refused
		return ended
	}
	a.pools.putIdle(a.endpoint, c, a.maxConnections)
	ended.Answered = true
	return ended
}

func (p *Pools) probePath(x *routing.Effect) string {
	if x.ProbePath != "" {
		return x.ProbePath
	}
	return p.settings.ProbePath
}

// isFromOtherTarget reports whether the response names a target other than the one probed.
func (a *Attempt) isFromOtherTarget() bool {
	header := a.pools.settings.TargetHeader
	if header == "" || !a.endpoint.Registered {
		return false
	}
	named := a.Response.Header.Peek(header)
	return len(named) > 0 && string(named) != string(a.endpoint.Target)
}
