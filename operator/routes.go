package operator

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// registerRoutes registers all calls.
func (server *Server) registerRoutes() {
	control := server.control
	registerRead(server, "/presets", control.Presets)
	registerChange(server, http.MethodPut, "/preset", PresetChange.check, control.SetPreset, nil)
	registerRead(server, "/datacentres", control.DataCentres)
	registerChange(server, http.MethodPut, "/datacentres/{Name}", DataCentreChange.check, control.SetDataCentre,
		func(body *DataCentreChange, name string) bool { return fillName(&body.DataCentre, name) })
	registerRead(server, "/services", control.Services)
	registerChange(server, http.MethodPut, "/services/{Name}", ServiceChange.check, control.SetService,
		func(body *ServiceChange, name string) bool { return fillName(&body.Service, name) })
	registerRead(server, "/teams", control.Teams)
	registerChange(server, http.MethodPut, "/teams/{Name}", TeamChange.check, control.SetTeam,
		func(body *TeamChange, name string) bool { return fillName(&body.Team, name) })
	registerChange(server, http.MethodPost, "/workers/{Name}/lost", WorkerLoss.check, control.DeclareLost,
		func(body *WorkerLoss, name string) bool { return fillName(&body.Worker, name) })
	registerRead(server, "/status", control.Status)
	server.registerJobRoutes()
	server.registerConfigRoutes()

	server.router.NotFoundHandler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		server.refuseUnknownRoute(writer, request, ErrNotFound{Kind: "path", Name: request.URL.Path})
	})
	server.router.MethodNotAllowedHandler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		server.refuseUnknownRoute(writer, request, ErrBadRequest{Field: "method", Reason: request.Method + " is not supported here"})
	})
}

// refuseUnknownRoute answers a request without a route. Requests without a valid token are denied, so
// that only operators learn which paths exist.
func (server *Server) refuseUnknownRoute(writer http.ResponseWriter, request *http.Request, err error) {
	if _, authErr := server.tokens.current().identify(request); authErr != nil {
		err = authErr
	}
	status, body := errorResponse(err)
	server.set.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_operator_calls_total{Path="",Status="%d"}`, status)).Inc()
	writeResponse(writer, status, body)
}

func (server *Server) registerJobRoutes() {
	control := server.control
	registerChange(server, http.MethodPost, "/jobs", JobSubmission.check, control.SubmitJob, nil)
	register(server, http.MethodGet, "/jobs", false, func(request *http.Request, _ Call) (JobList, error) {
		query := request.URL.Query()
		limit, err := server.pageLimit(request)
		if err != nil {
			return JobList{}, err
		}
		ctx, cancel := server.callContext(request)
		defer cancel()
		return control.Jobs(ctx, JobFilter{
			Team: ident.Team(query.Get("Team")), State: query.Get("State"), After: ident.Job(query.Get("After")), Limit: limit,
		})
	})
	registerByJob(server, http.MethodGet, "/jobs/{Name}", false, func(ctx context.Context, _ Call, job ident.Job) (JobState, error) {
		return control.Job(ctx, job)
	})
	registerByJob(server, http.MethodGet, "/jobs/{Name}/explanation", false, func(ctx context.Context, _ Call, job ident.Job) (Explanation, error) {
		return control.ExplainJob(ctx, job)
	})
	registerByJob(server, http.MethodPost, "/jobs/{Name}/cancel", true, control.CancelJob)
	register(server, http.MethodGet, "/workers", false, func(request *http.Request, _ Call) (WorkerList, error) {
		query := request.URL.Query()
		limit, err := server.pageLimit(request)
		if err != nil {
			return WorkerList{}, err
		}
		ctx, cancel := server.callContext(request)
		defer cancel()
		return control.Workers(ctx, WorkerFilter{
			DataCentre: ident.DataCentre(query.Get("DataCentre")), State: query.Get("State"),
			After: ident.Worker(query.Get("After")), Limit: limit,
		})
	})
}

func (server *Server) registerConfigRoutes() {
	control := server.control
	register(server, http.MethodGet, "/config/history", false, func(request *http.Request, _ Call) (HistoryList, error) {
		before, err := numberParameter(request, "Before", 0, math.MaxInt64)
		if err != nil {
			return HistoryList{}, err
		}
		limit, err := server.pageLimit(request)
		if err != nil {
			return HistoryList{}, err
		}
		ctx, cancel := server.callContext(request)
		defer cancel()
		return control.History(ctx, HistoryFilter{
			Document: request.URL.Query().Get("Document"), Before: ident.Version(before), Limit: limit,
		})
	})
	register(server, http.MethodGet, "/config/diff", false, func(request *http.Request, _ Call) (DiffList, error) {
		from, err := numberParameter(request, "From", 0, math.MaxInt64)
		if err != nil {
			return DiffList{}, err
		}
		to, err := numberParameter(request, "To", 0, math.MaxInt64)
		if err != nil {
			return DiffList{}, err
		}
		ctx, cancel := server.callContext(request)
		defer cancel()
		return control.Diff(ctx, ident.Version(from), ident.Version(to))
	})
	register(server, http.MethodGet, "/config/wait", false, func(request *http.Request, _ Call) (VersionStatus, error) {
		version, err := numberParameter(request, "Version", 1, math.MaxInt64)
		if err != nil {
			return VersionStatus{}, err
		}
		patience, err := numberParameter(request, "PatienceMillis", 0, int64(server.settings.MaxWaitMillis))
		if err != nil {
			return VersionStatus{}, err
		}
		limit := clock.Millis(patience) + server.settings.TimeoutMillis
		ctx, cancel := context.WithTimeout(request.Context(), limit.Duration())
		defer cancel()
		return control.Wait(ctx, ident.Version(version), clock.Millis(patience))
	})
}

// registerRead registers a call without parameters that changes nothing.
func registerRead[Result any](server *Server, path string, serve func(ctx context.Context) (Result, error)) {
	register(server, http.MethodGet, path, false, func(request *http.Request, _ Call) (Result, error) {
		ctx, cancel := server.callContext(request)
		defer cancel()
		return serve(ctx)
	})
}

// registerChange registers a call with a JSON body that changes something. If setName is not nil, it
// copies the name in the path to a body without a name and reports whether the two names agree.
func registerChange[Body, Result any](server *Server, method, path string, check func(Body) error,
	serve func(ctx context.Context, call Call, body Body) (Result, error), setName func(body *Body, name string) bool,
) {
	register(server, method, path, true, func(request *http.Request, call Call) (Result, error) {
		var zero Result
		var body Body
		if err := decode(request, &body); err != nil {
			return zero, err
		}
		if setName != nil && !setName(&body, mux.Vars(request)["Name"]) {
			return zero, ErrBadRequest{Reason: "the names in the path and in the body differ"}
		}
		if err := check(body); err != nil {
			return zero, err
		}
		ctx, cancel := server.callContext(request)
		defer cancel()
		return serve(ctx, call, body)
	})
}

// registerByJob registers a call on the job named in the path.
func registerByJob[Result any](server *Server, method, path string, changes bool, serve func(ctx context.Context, call Call, job ident.Job) (Result, error)) {
	register(server, method, path, changes, func(request *http.Request, call Call) (Result, error) {
		job := ident.Job(mux.Vars(request)["Name"])
		if !ident.Valid(job) {
			var zero Result
			return zero, ErrBadRequest{Field: "Job", Reason: fmt.Sprintf("%q is not an identifier", job)}
		}
		ctx, cancel := server.callContext(request)
		defer cancel()
		return serve(ctx, call, job)
	})
}

// fillName sets an empty field to name and reports whether the field then equals name.
func fillName[Name ~string](field *Name, name string) bool {
	if *field == "" {
		*field = Name(name)
	}
	return string(*field) == name
}

// pageLimit returns the requested length of a page, MaxPage by default.
func (server *Server) pageLimit(request *http.Request) (int, error) {
	limit, err := numberParameter(request, "Limit", 1, int64(server.settings.MaxPage))
	if limit == 0 {
		limit = int64(server.settings.MaxPage)
	}
	return int(limit), err
}

// numberParameter returns a query parameter from lowest to highest, or 0 if it is absent. It fails with
// ErrBadRequest.
func numberParameter(request *http.Request, name string, lowest, highest int64) (int64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < lowest || value > highest {
		return 0, ErrBadRequest{Field: name, Reason: fmt.Sprintf("%q is not a number from %d to %d", text, lowest, highest)}
	}
	return value, nil
}
