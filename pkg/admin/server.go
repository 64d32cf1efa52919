// Package admin serves the administration API over HTTP, the health checks for the platform,
// and the process's metrics and state dump.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"os"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/madderpond/madderpond/pkg/boxlist"
	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/documents"
	"github.com/madderpond/madderpond/pkg/entry"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/listening"
	"github.com/madderpond/madderpond/pkg/reload"
	"github.com/madderpond/madderpond/pkg/replica"
)

// Server serves the administration API of a process. Components that the process doesn't have
// are nil.
type Server struct {
	*common.Common
	entry    *entry.Entry
	replica  *replica.Replica
	boxList  *boxlist.Watcher
	reloader *reload.Reloader
	token    []byte
	// documents reads the bodies of requests.
	documents *documents.Reader
	server    *fasthttp.Server
	listener  net.Listener
}

// Components are the components of the process that the API gives access to. Those that the
// process doesn't have are nil.
type Components struct {
	Entry    *entry.Entry
	Replica  *replica.Replica
	BoxList  *boxlist.Watcher
	Reloader *reload.Reloader
}

// NewServer returns a server that isn't listening yet. The error is a Settings fault if the
// token can't be read or is too short.
func NewServer(c *common.Common, p Components) (*Server, error) {
	s := &Server{
		Common: c, entry: p.Entry, replica: p.Replica, boxList: p.BoxList, reloader: p.Reloader,
		documents: documents.NewReader(c.Settings.MemoryLimitMB, c.Settings.Admin.MaxBody),
	}
	if path := c.Settings.Admin.TokenFile; path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fault.Wrap(err, fault.Settings, "name a file that madderpond may read", "the token can't be read")
		}
		s.token = []byte(strings.TrimSpace(string(data)))
		if len(s.token) < minTokenLength {
			return nil, fault.New(fault.Settings, "write a random token of at least 16 characters", "the token in %s is too short", path)
		}
	}
	s.server = &fasthttp.Server{
		Handler:            s.handle,
		MaxRequestBodySize: c.Settings.Admin.MaxBody,
		// A body is read once the request is known to be allowed.
		StreamRequestBody:     true,
		ReadTimeout:           c.Settings.Entry.ReadTimeout.Std(),
		IdleTimeout:           c.Settings.Entry.IdleTimeout.Std(),
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                c.Log,
		ErrorHandler:          rejectMalformed,
	}
	return s, nil
}

// rejectMalformed answers a request that can't be parsed or is too large.
func rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	kind := fault.Invalid
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		kind = fault.TooLarge
	}
	writeProblem(ctx, fault.Wrap(err, kind, "send a well-formed request within the documented bounds", "the request can't be read"))
	ctx.SetConnectionClose()
}

// minTokenLength, in bytes, rejects an empty file or a placeholder as the token.
const minTokenLength = 16

// Start starts to listen. The error is an Unavailable fault.
func (s *Server) Start() error {
	listener, err := listening.Listen("tcp", s.Settings.Admin.Listen, s.Log)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "choose an address of this box whose port is free", "can't listen for operators on %s", s.Settings.Admin.Listen)
	}
	s.listener = listener
	go func() {
		if err := s.server.Serve(listener); err != nil {
			s.Log.WithError(err).Error("the administration API has stopped")
		}
	}()
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop shuts the server down; ctx bounds the wait for open requests.
func (s *Server) Stop(ctx context.Context) { s.server.ShutdownWithContext(ctx) }

// route is one method and path of the API. A path that ends with a slash matches every path
// with exactly one more segment.
type route struct {
	method string
	path   string
	// public routes need no token.
	public  bool
	handler func(*Server, *fasthttp.RequestCtx) error
}

// routes lists all routes of the API; docs/API.md describes each.
var routes = []route{
	{"GET", "/live", true, (*Server).live},
	{"GET", "/ready", true, (*Server).ready},
	{"GET", "/leaving", true, (*Server).leaving},
	{"GET", "/v1/table", false, (*Server).getTable},
	{"POST", "/v1/edits", false, (*Server).postEdit},
	{"GET", "/v1/history", false, (*Server).getHistory},
	{"GET", "/v1/watch", false, (*Server).watch},
	{"GET", "/v1/status", false, (*Server).getStatus},
	{"POST", "/v1/cluster/form", false, (*Server).form},
	{"GET", "/v1/document", false, (*Server).getDocument},
	{"PUT", "/v1/document", false, (*Server).putDocument},
	{"GET", "/v1/targets", false, (*Server).getTargets},
	{"PUT", "/v1/targets/", false, (*Server).putTarget},
	{"DELETE", "/v1/targets/", false, (*Server).deleteTarget},
	{"GET", "/v1/workspaces", false, (*Server).getWorkspaces},
	{"GET", "/v1/evacuations", false, (*Server).getEvacuations},
	{"PUT", "/v1/evacuations/", false, (*Server).putEvacuation},
	{"DELETE", "/v1/evacuations/", false, (*Server).deleteEvacuation},
	{"GET", "/v1/rollouts", false, (*Server).getRollouts},
	{"GET", "/v1/rollouts/", false, (*Server).getRollout},
	{"PUT", "/v1/rollouts/", false, (*Server).putRollout},
	{"DELETE", "/v1/rollouts/", false, (*Server).deleteRollout},
	{"GET", "/v1/quarantines", false, (*Server).getQuarantines},
	{"DELETE", "/v1/quarantines/", false, (*Server).deleteQuarantine},
	{"GET", "/v1/dump", false, (*Server).dump},
	{"GET", "/v1/settings", false, (*Server).getSettings},
	{"GET", "/debug/vars", false, (*Server).vars},
}

func (r *route) matches(path string) bool {
	rest, hasPrefix := strings.CutPrefix(path, r.path)
	if !strings.HasSuffix(r.path, "/") {
		return path == r.path
	}
	return hasPrefix && rest != "" && !strings.Contains(rest, "/")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	pathExists := false
	for _, r := range routes {
		if !r.matches(path) {
			continue
		}
		pathExists = true
		if r.method != string(ctx.Method()) {
			continue
		}
		if !r.public && !s.authorized(ctx) {
			writeProblem(ctx, fault.New(fault.Unauthorized, "send the header Authorization: Bearer with the token of admin.tokenFile", "the token is missing or wrong"))
			return
		}
		if err := s.serve(&r, ctx); err != nil {
			writeProblem(ctx, err)
		}
		return
	}
	if pathExists {
		writeProblem(ctx, fault.New(fault.Invalid, "see docs/API.md for the right method", "%s doesn't take %s", path, ctx.Method()))
		return
	}
	writeProblem(ctx, fault.New(fault.NotFound, "see docs/API.md for the addresses there are", "there is no %s", path))
}

// serve reads a request's body and calls the handler of its route.
func (s *Server) serve(r *route, ctx *fasthttp.RequestCtx) error {
	release, err := s.documents.Load(ctx, s.Settings.Admin.MaxBody)
	if err != nil {
		ctx.SetConnectionClose()
		return err
	}
	defer release()
	return r.handler(s, ctx)
}

// authorized checks the bearer token. It compares digests, so that the time taken reveals
// neither the length nor the content of the token.
func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	if len(s.token) == 0 {
		return true
	}
	given, found := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	want, have := sha256.Sum256(s.token), sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(want[:], have[:]) == 1 && found
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "report this as a fault of madderpond", "the answer can't be encoded")
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
	return nil
}

func (s *Server) vars(ctx *fasthttp.RequestCtx) error {
	expvarhandler.ExpvarHandler(ctx)
	return nil
}

// Publish registers the process's metrics with expvar. It may be called only once in a
// process, since expvar panics on a name that is taken.
func (s *Server) Publish() {
	if s.entry != nil {
		expvar.Publish("madderpond.entry", expvar.Func(func() any { return s.entry.Metrics() }))
	}
	if s.replica != nil {
		expvar.Publish("madderpond.control", expvar.Func(func() any { return s.replica.Status() }))
	}
}
