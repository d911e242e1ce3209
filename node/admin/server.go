package admin

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	api "baobabfield.example/api/admin"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	shutdownTimeout   = 10 * time.Second
	// maxBodyBytes is the maximum size of a request body. The platform stores objects
	// of up to 1 MiB.
	maxBodyBytes = 1 << 20
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 64 << 10
)

// Settings configure the admin server.
type Settings struct {
	// Address is the IP address and port that the server listens on.
	Address string
	// TLS holds the server's certificate. Nil means plain HTTP.
	TLS    *tls.Config
	Tokens []Token
	// AnswerTimeout bounds the time that a request waits for the tasks that own the
	// state.
	AnswerTimeout time.Duration
	// Metrics are the sets that /metrics writes in addition to the metrics of the
	// process.
	Metrics []*metrics.Set
}

// Check returns an error for the first invalid setting.
func (s *Settings) Check() error {
	if len(s.Tokens) == 0 {
		return errors.New("the admin API has no token")
	}
	if s.AnswerTimeout <= 0 {
		return errors.Errorf("the admin API's answer timeout is %v, want more than 0", s.AnswerTimeout)
	}
	return nil
}

// Server is the task that serves the admin API.
type Server struct {
	listener net.Listener
	http     *http.Server
	log      *zap.Logger
}

// Listen opens the server's socket and returns the server; Run starts it. The server
// sends each request to the channel. The receiver may answer or drop a request. An
// answer after the answer timeout is ignored.
func Listen(settings Settings, requests chan<- Request, log *zap.Logger) (*Server, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	handler, err := newHandler(settings, requests)
	if err != nil {
		return nil, err
	}
	listener, err := listen(settings)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      readTimeout + settings.AnswerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(log),
	}
	return &Server{listener: listener, http: server, log: log}, nil
}

func listen(settings Settings) (net.Listener, error) {
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for admin requests on %q", settings.Address)
	}
	if settings.TLS == nil {
		return listener, nil
	}
	return tls.NewListener(listener, settings.TLS), nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run serves until ctx is cancelled, and then waits up to shutdownTimeout for the
// requests in flight.
func (s *Server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.listener) }()
	s.log.Info("admin API is listening", zap.Stringer("address", s.Addr()))
	select {
	case err := <-served:
		return errors.Wrap(err, "serve the admin API")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(err, "stop the admin API")
	}
	return nil
}

func newHandler(settings Settings, requests chan<- Request) (http.Handler, error) {
	tasks := &taskClient{requests: requests, timeout: settings.AnswerTimeout}
	callMetrics := metrics.NewSet()
	server, err := api.NewServer(
		&handler{tasks: tasks},
		&tokenAuthenticator{tokens: settings.Tokens},
		api.WithErrorHandler(writeError),
		api.WithNotFound(writeNotFound),
		api.WithMethodNotAllowed(writeNotAllowed),
		api.WithMiddleware(newCallCounter(callMetrics)),
	)
	if err != nil {
		return nil, errors.Wrap(err, "set up the admin API")
	}
	mux := http.NewServeMux()
	mux.Handle("/", http.MaxBytesHandler(server, maxBodyBytes))
	mux.HandleFunc("GET /metrics", newMetricsHandler(append(settings.Metrics, callMetrics)))
	mux.HandleFunc("GET /healthz", tasks.writeHealth)
	return mux, nil
}
