package admin

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ogen-go/ogen/middleware"

	api "baobabfield.example/api/admin"
)

// newCallCounter returns a middleware that counts the calls by operation and result.
func newCallCounter(set *metrics.Set) api.Middleware {
	return func(request middleware.Request, next middleware.Next) (middleware.Response, error) {
		response, err := next(request)
		result := "done"
		if err != nil {
			result = string(toFailure(err).Code)
		}
		name := fmt.Sprintf("baobab_admin_calls_total{operation=%q,result=%q}", request.OperationName, result)
		set.GetOrCreateCounter(name).Inc()
		return response, err
	}
}

// newMetricsHandler returns a handler that writes the metrics of the process and of
// the sets in Prometheus text format.
func newMetricsHandler(sets []*metrics.Set) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
		for _, set := range sets {
			set.WritePrometheus(w)
		}
	}
}
