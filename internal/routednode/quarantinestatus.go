package routednode

import (
	"encoding/json"
	"net/http"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/quarantine"
	"stepseam.example/stepseam/internal/quarantinestatus"
)

// answerQuarantine serves the requests under which replicas have ended to stepseamctl.
func (n *node) answerQuarantine(writer http.ResponseWriter, _ *http.Request) {
	n.writeStatus(writer, http.StatusOK, quarantinestatus.Status{Node: string(n.settings.Load().Node.Name), Contents: n.quarantine.Status()})
}

// liftQuarantine lets a content be sent again, at all nodes.
func (n *node) liftQuarantine(writer http.ResponseWriter, request *http.Request) {
	key, err := quarantine.ParseKey(request.PathValue("content"))
	if err != nil {
		n.writeStatus(writer, http.StatusBadRequest, api.NewProblem(api.CodeInvalid, "%s", err))
		return
	}
	if !n.quarantine.Lift(key) {
		unknown := api.NewProblem(api.CodeInvalid, "no replica has ended under this content, as far as this node knows")
		unknown.Status = http.StatusNotFound
		n.writeStatus(writer, unknown.Status, unknown)
		return
	}
	n.writeStatus(writer, http.StatusOK, quarantinestatus.Lifted{Node: string(n.settings.Load().Node.Name), Key: key.String()})
}

func (n *node) writeStatus(writer http.ResponseWriter, status int, document any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// The client may have disconnected; there is nobody to report the error to.
	_ = json.NewEncoder(writer).Encode(document)
}
