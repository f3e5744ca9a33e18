package gateway

import (
	"encoding/json"
	"net/http"
	"reflect"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/problem"
)

// interfaceVersion is the version of the API in the OpenAPI document.
const interfaceVersion = "1.0.0"

// noLimit disables huma's limits on bodies; protect enforces them before huma.
const noLimit = -1

// routes returns the handler of all operations.
func (g *Gateway) routes() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("stepseam, for callers", interfaceVersion)
	config.Info.Description = "Programs are chains of dependent calls. Each call has a sequence in its branch; " +
		"the same sequence with the same body joins or replays. Errors are RFC 9457 problems with a stable code; " +
		"not_run is true only where it is certain that the request did not run."
	config.DocsPath = ""
	config.SchemasPath = ""
	config.CreateHooks = nil // omits $schema links from responses
	config.Transformers = []huma.Transformer{problem.Transform}
	format := huma.Format{Marshal: huma.DefaultJSONFormat.Marshal, Unmarshal: decodeJSON}
	config.Formats = map[string]huma.Format{api.MediaJSON: format, "json": format}
	face := humago.New(mux, config)

	g.addProgramRoutes(face)
	g.addCallRoutes(face)
	g.addChatRoute(face)
	mux.HandleFunc("/", unknownPath)
	return mux
}

// operation completes op with the settings of all operations. The documented
// responses are body as JSON, also events if streams is true, or a problem.
func operation(face huma.API, op huma.Operation, body any, streams bool) huma.Operation {
	schemas := face.OpenAPI().Components.Schemas
	schema := schemas.Schema(reflect.TypeOf(body), true, "Answer")
	content := map[string]*huma.MediaType{api.MediaJSON: {Schema: schema}}
	if streams {
		event := schemas.Schema(reflect.TypeFor[api.Event](), true, "Event")
		content[api.MediaEventStream] = &huma.MediaType{Schema: event}
	}
	problem := schemas.Schema(reflect.TypeFor[api.Problem](), true, "Problem")
	op.Responses = map[string]*huma.Response{
		"200": {Description: "The answer", Content: content},
		"default": {
			Description: "A problem. Retry-After is set where a retry helps.",
			Content:     map[string]*huma.MediaType{api.MediaProblem: {Schema: problem}},
		},
	}
	op.MaxBodyBytes = noLimit
	op.BodyReadTimeout = noLimit
	return op
}

// writeJSON responds with body as JSON and status 200.
func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", api.MediaJSON)
	writer.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(writer).Encode(body) // fails only if the caller disconnected
}
