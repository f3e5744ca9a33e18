package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/problem"
	"stepseam.example/stepseam/internal/table"
)

func versionOf(entry table.Entry) Version {
	return Version{
		Version: entry.Version, Base: entry.Base, ID: entry.ID, Author: entry.Author, Note: entry.Note,
		Published: entry.Published, Status: entry.Status, Reason: entry.Reason,
	}
}

// showTable returns an accepted version. Version 0 means the one in force on this node.
func (o *Operator) showTable(ctx context.Context, wanted table.Version) (Table, error) {
	state := o.config.Tables.State()
	if wanted == 0 {
		wanted = state.InForce
	}
	if wanted == 0 {
		return Table{}, problem.HandlerError(api.NewProblem(api.CodeNoTable, "no table is in force at %s", o.config.Self.Name))
	}
	record, err := o.config.Tables.Version(ctx, wanted)
	switch {
	case errors.Is(err, tables.ErrVersionNotRetained):
		return Table{}, problemError(http.StatusNotFound, CodeUnknownVersion, "version %d is not among the versions remembered; the newest is %d", wanted, state.Known)
	case err != nil:
		return Table{}, problemError(http.StatusServiceUnavailable, api.CodeLogUnavailable, "version %d stands in the log only, which cannot be read: %s", wanted, err)
	}
	return Table{
		Version: Version{
			Version: wanted, Base: record.Base, ID: record.ID, Author: record.Author, Note: record.Note,
			Published: record.Published, Status: table.Accepted,
		},
		InForce: state.InForce, Known: state.Known, CSV: string(record.CSV),
	}, nil
}

// publish passes a table to the controller and converts errors to problems.
func (o *Operator) publish(ctx context.Context, publication Publication) (Version, error) {
	if int64(len(publication.CSV)) > o.config.TableBytes {
		return Version{}, problem.HandlerError(api.NewProblem(api.CodeTooLarge, "the table is %d bytes, %d are allowed", len(publication.CSV), o.config.TableBytes))
	}
	entry, err := o.config.Tables.Publish(ctx, tables.Publication{
		ID: publication.ID, Repeated: publication.Repeated, Base: publication.Base, Author: publication.Author, Note: publication.Note, CSV: []byte(publication.CSV),
	})
	if err != nil {
		return Version{}, publishProblem(publication, err)
	}
	return versionOf(entry), nil
}

// outcomeRetryAfter is the RetryAfter of publications that failed or whose outcome is unknown.
const outcomeRetryAfter = 2 * time.Second

func publishProblem(publication Publication, err error) error {
	var invalid *table.InvalidError
	var conflict *tables.ConflictError
	var base *tables.BaseError
	var unknown *tables.OutcomeUnknownError
	switch {
	case errors.As(err, &invalid):
		document := api.NewProblem(api.CodeInvalid, "the table has %d finding(s)", len(invalid.Findings))
		document.Findings = Findings(invalid)
		return problem.HandlerError(document)
	case errors.As(err, &conflict):
		return problem.HandlerError(api.NewProblem(api.CodeTableConflict,
			"version %d by %s was accepted on base %d first; take your change over into it and publish on base %d",
			conflict.Winner.Version, authorName(conflict.Winner.Author), conflict.Base, conflict.Winner.Version))
	case errors.As(err, &base):
		return problem.HandlerError(api.NewProblem(api.CodeTableConflict,
			"base %d was never accepted; the newest version is %d", base.Base, base.Current))
	case errors.Is(err, tables.ErrIDReused):
		return problem.HandlerError(api.NewProblem(api.CodeConflict, "%s", err))
	case errors.As(err, &unknown):
		document := api.NewProblem(CodeTableUnknown,
			"it is not known whether publication %s takes effect; publish it again with the same id, or look for the id in the history", publication.ID)
		document.Status, document.Title = http.StatusServiceUnavailable, "The outcome of the publication is unknown"
		return problem.HandlerError(document.WithRetryAfter(outcomeRetryAfter))
	}
	return problem.HandlerError(api.NewProblem(api.CodeLogUnavailable, "nothing was published: %s", err).WithRetryAfter(outcomeRetryAfter))
}

// Findings converts the findings of an invalid table to their API form.
func Findings(invalid *table.InvalidError) []api.Finding {
	return lo.Map(invalid.Findings, func(f table.Finding, _ int) api.Finding {
		return api.Finding{Place: f.Place(), Message: f.Message}
	})
}

func authorName(author string) string {
	if author == "" {
		return "an author no longer remembered"
	}
	return author
}

type versionInput struct {
	Version uint64 `path:"version" minimum:"1"`
}

type publishInput struct{ Body Publication }

// historyDocument is a list of publications, oldest first.
type historyDocument struct {
	Versions []Version `json:"versions"`
}

func (o *Operator) tableEndpoints(interfaces huma.API) {
	huma.Register(interfaces, huma.Operation{
		OperationID: "show-table", Method: http.MethodGet, Path: "/v1/table", Summary: "The table version in force",
	}, func(ctx context.Context, _ *struct{}) (*documentOf[Table], error) {
		shown, err := o.showTable(ctx, 0)
		return &documentOf[Table]{Body: shown}, err
	})
	huma.Register(interfaces, huma.Operation{
		OperationID: "show-table-version", Method: http.MethodGet, Path: "/v1/table/versions/{version}", Summary: "One accepted version",
	}, func(ctx context.Context, input *versionInput) (*documentOf[Table], error) {
		shown, err := o.showTable(ctx, table.Version(input.Version))
		return &documentOf[Table]{Body: shown}, err
	})
	huma.Register(interfaces, huma.Operation{
		OperationID: "table-history", Method: http.MethodGet, Path: "/v1/table/versions", Summary: "The last publications, oldest first",
	}, func(context.Context, *struct{}) (*documentOf[historyDocument], error) {
		versions := lo.Map(o.config.Tables.History(), func(e table.Entry, _ int) Version { return versionOf(e) })
		return &documentOf[historyDocument]{Body: historyDocument{Versions: versions}}, nil
	})
	huma.Register(interfaces, huma.Operation{
		OperationID: "publish-table", Method: http.MethodPost, Path: "/v1/table/versions", Summary: "Publish a table",
		DefaultStatus: http.StatusCreated, MaxBodyBytes: bodyGrowth*o.config.TableBytes + bodyOverhead,
	}, func(ctx context.Context, input *publishInput) (*documentOf[Version], error) {
		version, err := o.publish(ctx, input.Body)
		return &documentOf[Version]{Body: version}, err
	})
}
