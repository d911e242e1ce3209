package admin

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ogen-go/ogen/middleware"

	api "baobabfield.example/api/admin"
)

// newCallCounter counts the calls of each operation by their result.
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

// newMetricsHandler returns a handler that writes the process's metrics and the sets.
func newMetricsHandler(sets []*metrics.Set) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
		for _, set := range sets {
			set.WritePrometheus(w)
		}
	}
}
