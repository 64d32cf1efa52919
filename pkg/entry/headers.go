package entry

import (
	"bytes"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// hopByHopHeaders are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade",
}

// requiredHeaders are the headers without which a request would mean something else; no
// Connection header may take them away.
var requiredHeaders = []string{"Host", "Content-Length"}

func isRequiredHeader(name string) bool {
	return slices.ContainsFunc(requiredHeaders, func(n string) bool { return strings.EqualFold(n, name) })
}

// headerSet is what requests' and responses' headers have in common here.
type headerSet interface {
	Peek(key string) []byte
	Del(key string)
}

// removeHopByHop drops the headers that must not be passed on, and those that
// the Connection header names.
func removeHopByHop(h headerSet) {
	for _, name := range strings.Split(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" && !isRequiredHeader(name) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// fillRequest makes an attempt's own copy of a caller's request, for the workspace whose key let it
// in. The key stays here, and nobody else says which workspace calls.
func (e *Entry) fillRequest(out, from *fasthttp.Request, w units.WorkspaceName) {
	from.Header.CopyTo(&out.Header)
	removeHopByHop(&out.Header)
	out.Header.Del("Expect")
	out.Header.Del(e.Settings.Entry.KeyHeader)
	out.Header.Del(e.Settings.Entry.WorkspaceHeader)
	if w != "" {
		out.Header.Set(e.Settings.Entry.WorkspaceHeader, string(w))
	}
	out.SetBody(from.Body())
	out.Header.SetNoDefaultContentType(true)
}

// credentialOf returns the key that a request presents.
func (e *Entry) credentialOf(ctx *fasthttp.RequestCtx) apikey.Credential {
	return apikey.CredentialFromHeader(ctx.Request.Header.PeekAll(e.Settings.Entry.KeyHeader))
}

// findUnsafeFraming names what makes a request's length ambiguous; such a
// request could mean one thing here and another at a target.
func findUnsafeFraming(h *fasthttp.RequestHeader) string {
	raw := h.RawHeaders()
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		if line[len(line)-1] != '\r' {
			return "bare-line-feed"
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
		}
	}
	if lengths > 1 || codings > 1 || lengths > 0 && codings > 0 {
		return "ambiguous-length"
	}
	return ""
}

func (e *Entry) refuseFraming(ctx *fasthttp.RequestCtx, reason string) {
	e.metrics.badRequests.Add(1)
	writeProblem(ctx, &problem{
		Type: "madderpond:" + reason, Title: reason, Status: fasthttp.StatusBadRequest,
		Outcome: routing.NotRun.String(), Remedy: "send one length only, and end every line with CR LF",
	})
	ctx.SetConnectionClose()
}
