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

// routes registers all calls.
func (server *Server) routes() {
	control := server.control
	list(server, "/presets", control.Presets)
	change(server, http.MethodPut, "/preset", PresetChange.check, control.SetPreset, nil)
	list(server, "/datacentres", control.DataCentres)
	change(server, http.MethodPut, "/datacentres/{Name}", DataCentreChange.check, control.SetDataCentre,
		func(body *DataCentreChange, name string) bool { return fill(&body.DataCentre, name) })
	list(server, "/services", control.Services)
	change(server, http.MethodPut, "/services/{Name}", ServiceChange.check, control.SetService,
		func(body *ServiceChange, name string) bool { return fill(&body.Service, name) })
	list(server, "/teams", control.Teams)
	change(server, http.MethodPut, "/teams/{Name}", TeamChange.check, control.SetTeam,
		func(body *TeamChange, name string) bool { return fill(&body.Team, name) })
	change(server, http.MethodPost, "/workers/{Name}/lost", WorkerLoss.check, control.DeclareLost,
		func(body *WorkerLoss, name string) bool { return fill(&body.Worker, name) })
	list(server, "/status", control.Status)
	server.jobRoutes()
	server.configRoutes()

	server.router.NotFoundHandler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		server.refuse(writer, request, ErrNotFound{Kind: "path", Name: request.URL.Path})
	})
	server.router.MethodNotAllowedHandler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		server.refuse(writer, request, ErrBadRequest{Field: "method", Reason: request.Method + " is not supported here"})
	})
}

// refuse answers calls without a route. Only authenticated callers learn which paths exist.
func (server *Server) refuse(writer http.ResponseWriter, request *http.Request, err error) {
	if _, denied := server.tokens.current().identify(request); denied != nil {
		err = denied
	}
	status, body := failure(err)
	server.set.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_operator_calls_total{Path="",Status="%d"}`, status)).Inc()
	reply(writer, status, body)
}

func (server *Server) jobRoutes() {
	control := server.control
	change(server, http.MethodPost, "/jobs", JobSubmission.check, control.SubmitJob, nil)
	handle(server, http.MethodGet, "/jobs", false, func(request *http.Request, _ Call) (JobList, error) {
		query := request.URL.Query()
		limit, err := server.page(request)
		if err != nil {
			return JobList{}, err
		}
		ctx, cancel := server.bounded(request)
		defer cancel()
		return control.Jobs(ctx, JobFilter{
			Team: ident.Team(query.Get("Team")), State: query.Get("State"), After: ident.Job(query.Get("After")), Limit: limit,
		})
	})
	byJob(server, http.MethodGet, "/jobs/{Name}", false, func(ctx context.Context, _ Call, job ident.Job) (JobState, error) {
		return control.Job(ctx, job)
	})
	byJob(server, http.MethodGet, "/jobs/{Name}/explanation", false, func(ctx context.Context, _ Call, job ident.Job) (Explanation, error) {
		return control.ExplainJob(ctx, job)
	})
	byJob(server, http.MethodPost, "/jobs/{Name}/cancel", true, control.CancelJob)
	handle(server, http.MethodGet, "/workers", false, func(request *http.Request, _ Call) (WorkerList, error) {
		query := request.URL.Query()
		limit, err := server.page(request)
		if err != nil {
			return WorkerList{}, err
		}
		ctx, cancel := server.bounded(request)
		defer cancel()
		return control.Workers(ctx, WorkerFilter{
			DataCentre: ident.DataCentre(query.Get("DataCentre")), State: query.Get("State"),
			After: ident.Worker(query.Get("After")), Limit: limit,
		})
	})
}

func (server *Server) configRoutes() {
	control := server.control
	handle(server, http.MethodGet, "/config/history", false, func(request *http.Request, _ Call) (HistoryList, error) {
		before, err := number(request, "Before", 0, math.MaxInt64)
		if err != nil {
			return HistoryList{}, err
		}
		limit, err := server.page(request)
		if err != nil {
			return HistoryList{}, err
		}
		ctx, cancel := server.bounded(request)
		defer cancel()
		return control.History(ctx, HistoryFilter{
			Document: request.URL.Query().Get("Document"), Before: ident.Version(before), Limit: limit,
		})
	})
	handle(server, http.MethodGet, "/config/diff", false, func(request *http.Request, _ Call) (DiffList, error) {
		from, err := number(request, "From", 0, math.MaxInt64)
		if err != nil {
			return DiffList{}, err
		}
		to, err := number(request, "To", 0, math.MaxInt64)
		if err != nil {
			return DiffList{}, err
		}
		ctx, cancel := server.bounded(request)
		defer cancel()
		return control.Diff(ctx, ident.Version(from), ident.Version(to))
	})
	handle(server, http.MethodGet, "/config/wait", false, func(request *http.Request, _ Call) (InForce, error) {
		version, err := number(request, "Version", 1, math.MaxInt64)
		if err != nil {
			return InForce{}, err
		}
		patience, err := number(request, "PatienceMillis", 0, int64(server.settings.MaxWaitMillis))
		if err != nil {
			return InForce{}, err
		}
		limit := clock.Millis(patience) + server.settings.TimeoutMillis
		ctx, cancel := context.WithTimeout(request.Context(), limit.Duration())
		defer cancel()
		return control.Wait(ctx, ident.Version(version), clock.Millis(patience))
	})
}

// list registers a call without parameters that changes nothing.
func list[Result any](server *Server, path string, serve func(ctx context.Context) (Result, error)) {
	handle(server, http.MethodGet, path, false, func(request *http.Request, _ Call) (Result, error) {
		ctx, cancel := server.bounded(request)
		defer cancel()
		return serve(ctx)
	})
}

// change registers a call with a JSON body that changes something. Name takes the name in the path
// over into the body and reports whether they agree.
func change[Body, Result any](server *Server, method, path string, check func(Body) error,
	serve func(ctx context.Context, call Call, body Body) (Result, error), name func(body *Body, name string) bool,
) {
	handle(server, method, path, true, func(request *http.Request, call Call) (Result, error) {
		var none Result
		var body Body
		if err := decode(request, &body); err != nil {
			return none, err
		}
		if name != nil && !name(&body, mux.Vars(request)["Name"]) {
			return none, ErrBadRequest{Reason: "the names in the path and in the body differ"}
		}
		if err := check(body); err != nil {
			return none, err
		}
		ctx, cancel := server.bounded(request)
		defer cancel()
		return serve(ctx, call, body)
	})
}

// byJob registers a call on one job.
func byJob[Result any](server *Server, method, path string, changes bool, serve func(ctx context.Context, call Call, job ident.Job) (Result, error)) {
	handle(server, method, path, changes, func(request *http.Request, call Call) (Result, error) {
		job := ident.Job(mux.Vars(request)["Name"])
		if !ident.Valid(job) {
			var none Result
			return none, ErrBadRequest{Field: "Job", Reason: fmt.Sprintf("%q is not an identifier", job)}
		}
		ctx, cancel := server.bounded(request)
		defer cancel()
		return serve(ctx, call, job)
	})
}

// fill sets an empty field to name and reports whether the field then equals name.
func fill[Name ~string](field *Name, name string) bool {
	if *field == "" {
		*field = Name(name)
	}
	return string(*field) == name
}

// page returns the wanted length of a list.
func (server *Server) page(request *http.Request) (int, error) {
	limit, err := number(request, "Limit", 1, int64(server.settings.MaxPage))
	if limit == 0 {
		limit = int64(server.settings.MaxPage)
	}
	return int(limit), err
}

// number returns a numeric parameter, or 0 if it is absent. It fails with ErrBadRequest.
func number(request *http.Request, name string, least, most int64) (int64, error) {
	given := request.URL.Query().Get(name)
	if given == "" {
		return 0, nil
	}
	value, err := strconv.ParseInt(given, 10, 64)
	if err != nil || value < least || value > most {
		return 0, ErrBadRequest{Field: name, Reason: fmt.Sprintf("%q is not a number from %d to %d", given, least, most)}
	}
	return value, nil
}
