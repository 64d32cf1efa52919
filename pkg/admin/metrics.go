package admin

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/fault"
)

// metricsPath is where the metrics are read.
const metricsPath = "/debug/vars"

// metricsTimeout bounds a reader's request.
const metricsTimeout = 5 * time.Second

// MetricsServer serves the process's metrics and nothing else, so that its address may
// be open where the administration API is not.
type MetricsServer struct {
	*common.Common
	server *fasthttp.Server
}

// NewMetricsServer returns a server that doesn't listen yet.
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

// Start begins to listen, if the settings name an address. A process without metrics
// still serves, so an address that is taken is told and no more.
func (m *MetricsServer) Start() {
	address := m.Settings.Metrics.Listen
	if address == "" {
		return
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		err = fault.Wrap(err, fault.Unavailable, "free the address, or name another one in metrics.listen", "metrics can't be served on %s", address)
		m.Log.WithError(err).WithField("kind", "metrics-unavailable").Error("there are no metrics")
		return
	}
	go m.server.Serve(listener)
}

// Stop ends the server.
func (m *MetricsServer) Stop(ctx context.Context) { m.server.ShutdownWithContext(ctx) }
