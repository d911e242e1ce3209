package admin

import (
	"fmt"
	"net/http"
)

// writeHealth responds with status 200 if the host serves callers, and with 503
// otherwise.
func (t *taskClient) writeHealth(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	status, err := t.status(r.Context())
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintln(w, err)
		return
	}
	if status.State != HostServing {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = fmt.Fprintln(w, status.State)
}
