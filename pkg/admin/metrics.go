package admin

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/listening"
)

// metricsPath is the only path that MetricsServer serves.
const metricsPath = "/debug/vars"

// metricsTimeout bounds the time to read a request, and the idle time of a connection.
const metricsTimeout = 5 * time.Second

// MetricsServer serves the process's metrics without a token and nothing else, so that its
// address may be reachable where the administration API is not.
type MetricsServer struct {
	*common.Common
	server *fasthttp.Server
}

// NewMetricsServer returns a server that isn't listening yet.
func NewMetricsServer(c *common.Common) *MetricsServer {
	return &MetricsServer{Common: c, server: &fasthttp.Server{
		Handler: serveMetrics, ReadTimeout: metricsTimeout, IdleTimeout: metricsTimeout,
		NoDefaultServerHeader: true, ReduceMemoryUsage: true, Logger: c.Log,
	}}
}

func serveMetrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != metricsPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	expvarhandler.ExpvarHandler(ctx)
}

// Start starts to listen, if the settings give an address. The process can serve without
// metrics, so a failure to listen is only logged.
func (m *MetricsServer) Start() {
	address := m.Settings.Metrics.Listen
	if address == "" {
		return
	}
	listener, err := listening.Listen("tcp", address, m.Log)
	if err != nil {
		err = fault.Wrap(err, fault.Unavailable, "free the address, or name another one in metrics.listen", "metrics can't be served on %s", address)
		m.Log.WithError(err).WithField("kind", "metrics-unavailable").Error("metrics aren't served")
		return
	}
	go m.server.Serve(listener)
}

// Stop shuts the server down; ctx bounds the wait for open requests.
func (m *MetricsServer) Stop(ctx context.Context) { m.server.ShutdownWithContext(ctx) }
