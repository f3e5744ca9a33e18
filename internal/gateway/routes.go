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

// interfaceVersion is the version of the callers' interface in the OpenAPI document.
const interfaceVersion = "1.0.0"

// noLimit leaves a body's limits to protect, which comes before huma.
const noLimit = -1

// routes builds the whole interface.
func (g *Gateway) routes() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("stepseam, for callers", interfaceVersion)
	config.Info.Description = "Programs are chains of dependent calls. Each call has a sequence in its branch; " +
		"the same sequence with the same body joins or replays. Errors are RFC 9457 problems with a stable code; " +
		"not_run is true only where it is certain that the request did not run."
	config.DocsPath = ""
	config.SchemasPath = ""
	config.CreateHooks = nil // no $schema links in answers
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

// operation fills in what all operations have in common. Its answers are body
// as JSON, events if streams, or a problem.
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

// writeJSON answers with a body.
func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", api.MediaJSON)
	writer.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(writer).Encode(body) // a caller that is gone wants no answer
}
