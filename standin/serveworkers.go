package standin

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gorilla/mux"

	"hyssopjunction/ident"
	"hyssopjunction/worker"
)

func (server *Server) routeWorkers(router *mux.Router) {
	handle(server, router, "start", func(ctx context.Context, runtime *Worker, call worker.StartRequest) (any, error) {
		return nil, runtime.Start(ctx, call.Spec, call.Expiry)
	})
	handle(server, router, "renew", func(ctx context.Context, runtime *Worker, call worker.RenewRequest) (any, error) {
		now, err := runtime.Renew(ctx, call.Expiry)
		return worker.RenewReply{Now: now}, err
	})
	handle(server, router, "checkpoint", func(ctx context.Context, runtime *Worker, call worker.TaskRequest) (any, error) {
		return runtime.Checkpoint(ctx, call.Task, call.Epoch)
	})
	handle(server, router, "throttle", func(ctx context.Context, runtime *Worker, call worker.TaskRequest) (any, error) {
		return nil, runtime.Throttle(ctx, call.Task, call.Epoch, call.Percent)
	})
	handle(server, router, "stop", func(ctx context.Context, runtime *Worker, call worker.TaskRequest) (any, error) {
		return nil, runtime.Stop(ctx, call.Task, call.Epoch)
	})
	handle(server, router, "forget", func(ctx context.Context, runtime *Worker, call worker.TaskRequest) (any, error) {
		return nil, runtime.Forget(ctx, call.Task, call.Epoch)
	})
	handle(server, router, "list", func(ctx context.Context, runtime *Worker, _ struct{}) (any, error) {
		return runtime.List(ctx)
	})
}

// handle adds the route of one call for all workers.
func handle[Call any](server *Server, router *mux.Router, name string, apply func(context.Context, *Worker, Call) (any, error)) {
	router.HandleFunc("/workers/{Worker}/"+name, func(writer http.ResponseWriter, request *http.Request) {
		host := ident.Worker(mux.Vars(request)["Worker"])
		runtime := server.platform.Workers[host]
		if runtime == nil {
			answerWorkerError(writer, worker.ErrUnavailable{Reason: fmt.Sprintf("there is no worker %q", host)})
			return
		}
		var call Call
		if !readJSON(writer, request, &call) {
			return
		}
		value, err := apply(request.Context(), runtime, call)
		if err != nil {
			answerWorkerError(writer, err)
			return
		}
		if value == nil {
			value = struct{}{}
		}
		writeJSON(writer, http.StatusOK, value)
	}).Methods(http.MethodPost)
}

func answerWorkerError(writer http.ResponseWriter, err error) {
	body, status := worker.NewErrorBody(err)
	writeJSON(writer, status, body)
}
