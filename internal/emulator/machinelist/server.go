package machinelist

import (
	"fmt"
	"net/http"

	"stepseam.example/stepseam/internal/emulator/standin"
	"stepseam.example/stepseam/internal/siteservices"
)

// NewServer returns the HTTP handler of list: GET /v1/machines as
// siteservices.MachineListClient calls it and, under /stand-in/, the control paths of a
// laboratory site: GET and PUT /stand-in/faults, GET and PUT /stand-in/machines, PUT and
// DELETE /stand-in/machines/{name}.
func NewServer(list *List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, r *http.Request) {
		machines, err := list.ViewFor(r.Header.Get(siteservices.CallerHeader)).Machines(r.Context())
		if err != nil {
			standin.Fail(w, err)
			return
		}
		standin.WriteJSON(w, siteservices.MachinesAnswer{Machines: machines})
	})
	mux.HandleFunc("GET /stand-in/machines", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, siteservices.MachinesAnswer{Machines: list.Latest()})
	})
	mux.HandleFunc("PUT /stand-in/machines", func(w http.ResponseWriter, r *http.Request) {
		var body siteservices.MachinesAnswer
		if standin.ReadJSON(w, r, &body) {
			list.Replace(body.Machines)
			standin.WriteJSON(w, body)
		}
	})
	mux.HandleFunc("PUT /stand-in/machines/{name}", func(w http.ResponseWriter, r *http.Request) {
		handlePut(list, w, r)
	})
	mux.HandleFunc("DELETE /stand-in/machines/{name}", func(w http.ResponseWriter, r *http.Request) {
		list.Remove(r.PathValue("name"))
		standin.WriteJSON(w, siteservices.MachinesAnswer{Machines: list.Latest()})
	})
	mux.HandleFunc("GET /stand-in/faults", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, list.Faults())
	})
	mux.HandleFunc("PUT /stand-in/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if standin.ReadJSON(w, r, &faults) {
			list.SetFaults(faults)
			standin.WriteJSON(w, faults)
		}
	})
	return mux
}

func handlePut(list *List, w http.ResponseWriter, r *http.Request) {
	var machine siteservices.Machine
	if !standin.ReadJSON(w, r, &machine) {
		return
	}
	if machine.Name != r.PathValue("name") {
		standin.Reject(w, http.StatusBadRequest,
			fmt.Errorf("body names machine %q, the path %q", machine.Name, r.PathValue("name")))
		return
	}
	list.Put(machine)
	standin.WriteJSON(w, machine)
}
