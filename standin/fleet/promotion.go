package fleet

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// promotionHandler serves the platform's HTTP request that promotes an instance.
func (f *Fleet) promotionHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", f.serveFailover)
	return mux
}

// serveFailover promotes an instance and checks that fencing tokens do not decrease.
func (f *Fleet) serveFailover(w http.ResponseWriter, r *http.Request) {
	var request struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Baobabfield-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := http.StatusOK
	f.runOnFleet(func() {
		if token < f.highestTokens[request.Service] {
			f.recordViolation("promotion in service %s has fencing token %d after token %d", request.Service, token, f.highestTokens[request.Service])
		}
		f.highestTokens[request.Service] = max(f.highestTokens[request.Service], token)
		i := f.instances[request.ID]
		if i == nil || !i.alive {
			status = http.StatusConflict
			return
		}
		if !i.primary {
			f.postAfter(promotionDelay, i.becomePrimary)
		}
	})
	w.WriteHeader(status)
}
