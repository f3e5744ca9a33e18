package logservice

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"stepseam.example/stepseam/internal/emulator/standin"
	"stepseam.example/stepseam/internal/siteservices"
)

// NewServer returns the HTTP handler of service: the protocol of siteservices.LogClient
// and, under /stand-in/, the control paths for tests and operators of a laboratory site:
// faults (GET and PUT /stand-in/faults, with ?caller= for one caller's view) and stored
// data (GET /stand-in/counts, GET /stand-in/streams).
func NewServer(service *Service) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		handleAppend(service, w, r)
	})
	mux.HandleFunc("GET /v1/streams/{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		handleRead(service, w, r)
	})
	mux.HandleFunc("GET /stand-in/faults", func(w http.ResponseWriter, r *http.Request) {
		if caller := r.URL.Query().Get("caller"); caller != "" {
			standin.WriteJSON(w, service.ViewFor(caller).Faults())
			return
		}
		standin.WriteJSON(w, service.Faults())
	})
	mux.HandleFunc("PUT /stand-in/faults", func(w http.ResponseWriter, r *http.Request) {
		handleSetFaults(service, w, r)
	})
	mux.HandleFunc("GET /stand-in/counts", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, service.Counts())
	})
	mux.HandleFunc("GET /stand-in/streams", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, service.Streams())
	})
	return mux
}

func handleAppend(service *Service, w http.ResponseWriter, r *http.Request) {
	var body siteservices.AppendBody
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	view := service.ViewFor(r.Header.Get(siteservices.CallerHeader))
	offset, err := view.Append(r.Context(), r.PathValue("stream"), body.Records)
	if err != nil {
		standin.Fail(w, err)
		return
	}
	standin.WriteJSON(w, siteservices.AppendAnswer{Offset: offset})
}

func handleRead(service *Service, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(query.Get("limit"))
	milliseconds, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	for name, err := range map[string]error{"from": errFrom, "limit": errLimit, "wait_ms": errWait} {
		if err != nil {
			standin.Reject(w, http.StatusBadRequest, fmt.Errorf("query %s: %w", name, err))
			return
		}
	}
	wait := min(time.Duration(milliseconds)*time.Millisecond, siteservices.MaxWait)
	view := service.ViewFor(r.Header.Get(siteservices.CallerHeader))
	result, err := view.Read(r.Context(), r.PathValue("stream"), siteservices.Offset(from), limit, wait)
	if err != nil {
		standin.Fail(w, err)
		return
	}
	standin.WriteJSON(w, siteservices.ReadAnswer(result))
}

func handleSetFaults(service *Service, w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	if caller := r.URL.Query().Get("caller"); caller != "" {
		service.ViewFor(caller).SetFaults(faults)
	} else {
		service.SetFaults(faults)
	}
	standin.WriteJSON(w, faults)
}
