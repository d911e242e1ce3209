package fleet

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// promotions serves the platform's call that makes an instance the primary.
func (f *Fleet) promotions() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", f.serveFailover)
	return mux
}

// serveFailover makes an instance lead, and checks the tokens.
func (f *Fleet) serveFailover(w http.ResponseWriter, r *http.Request) {
	var q struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Baobabfield-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := http.StatusOK
	f.ask(func() {
		if token < f.tokens[q.Service] {
			f.fault("promotion in %s with token %d after %d", q.Service, token, f.tokens[q.Service])
		}
		f.tokens[q.Service] = max(f.tokens[q.Service], token)
		i := f.servers[q.ID]
		if i == nil || !i.alive {
			status = http.StatusConflict
			return
		}
		if !i.primary {
			f.after(promoteTime, i.lead)
		}
	})
	w.WriteHeader(status)
}
