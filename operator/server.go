package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Prefix starts the paths of all operators' calls.
const Prefix = "/operator/v1"

// RequestKey is the header with the request id of a change.
const RequestKey = "Request-Key"

// Settings are the limits of a Server.
type Settings struct {
	// Credentials are used if Tokens is nil.
	Credentials []Credential
	// Tokens holds credentials that can change while the server runs.
	Tokens *Tokens
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes int64
	// TimeoutMillis bounds the time of one call, other than Wait.
	TimeoutMillis clock.Millis
	// MaxWaitMillis bounds the patience of Wait.
	MaxWaitMillis clock.Millis
	// MaxPage bounds the length of lists that come in pages.
	MaxPage int
}

// Defaults returns the settings shipped with the daemon, without credentials.
func Defaults() Settings {
	return Settings{
		MaxBodyBytes:  1 << 20,
		TimeoutMillis: 10 * clock.Second,
		MaxWaitMillis: 30 * clock.Second,
		MaxPage:       1000,
	}
}

// Server is the http.Handler of the operators' API.
type Server struct {
	settings Settings
	control  Control
	tokens   *Tokens
	set      *metrics.Set
	router   *mux.Router
}

// New returns a Server for control. Metrics are added to set. It fails with ErrBadRequest if the
// credentials are incomplete.
func New(settings Settings, control Control, set *metrics.Set) (*Server, error) {
	tokens := settings.Tokens
	if tokens == nil {
		var err error
		if tokens, err = FixedTokens(settings.Credentials); err != nil {
			return nil, err
		}
	}
	// Cleaning a path would answer with a redirect, which clients take for an unknown outcome.
	server := &Server{settings: settings, control: control, tokens: tokens, set: set, router: mux.NewRouter().UseEncodedPath().SkipClean(true)}
	server.routes()
	return server, nil
}

// ServeHTTP answers one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.router.ServeHTTP(writer, request)
}

// NotReady returns a handler that refuses every call with ErrRetryLater. Credentials are not looked at,
// because nothing but the reason is told.
func NotReady(reason string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		status, body := failure(ErrRetryLater{Reason: reason, RetryAfter: clock.Second})
		reply(writer, status, body)
	})
}

// handle registers a call. Changing calls need a request key and a credential that is not read-only.
func handle[Result any](server *Server, method, path string, changes bool, serve func(request *http.Request, call Call) (Result, error)) {
	route := server.router.Path(Prefix + path).Methods(method)
	route.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(writer, request.Body, server.settings.MaxBodyBytes)
		call, err := server.admit(request, changes)
		var result Result
		if err == nil {
			result, err = serve(request, call)
			err = translate(err, call.Request)
		}
		status := http.StatusOK
		var body any = result
		if err != nil {
			status, body = failure(err)
		}
		server.set.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_operator_calls_total{Method=%q,Path=%q,Status="%d"}`, method, path, status)).Inc()
		if changes || status >= http.StatusInternalServerError {
			klog.InfoS("Operator call", "Method", method, "Path", request.URL.Path, "Operator", call.Operator,
				"Request", call.Request, "Status", status, "Error", text(err))
		}
		reply(writer, status, body)
	})
}

// admit authenticates the request and reads its request key.
func (server *Server) admit(request *http.Request, changes bool) (Call, error) {
	who, err := server.tokens.current().identify(request)
	if err != nil {
		return Call{}, err
	}
	call := Call{Operator: who.operator}
	if !changes {
		return call, nil
	}
	if who.readOnly {
		return call, ErrDenied{Reason: "the token permits reading only", Known: true}
	}
	call.Request = ident.Request(request.Header.Get(RequestKey))
	if !ident.Valid(call.Request) {
		bad := call.Request
		call.Request = ""
		return call, ErrBadRequest{Field: RequestKey, Reason: fmt.Sprintf("%q is not an identifier", bad)}
	}
	return call, nil
}

// bounded returns the request's context with the time limit of one call.
func (server *Server) bounded(request *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(request.Context(), server.settings.TimeoutMillis.Duration())
}

// decode reads exactly one JSON object with known fields. It fails with ErrBadRequest or ErrTooLarge.
func decode(request *http.Request, into any) error {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, trailing := decoder.Token(); !errors.Is(trailing, io.EOF) {
			err = errors.Join(ErrBadRequest{Reason: "body holds more than one JSON value"}, oversize(trailing))
		}
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return ErrTooLarge{Limit: large.Limit}
	case IsErrBadRequest(err):
		return err
	default:
		return ErrBadRequest{Reason: "body is not the expected JSON object: " + err.Error()}
	}
}

// oversize keeps only the error that says that the body is too large.
func oversize(err error) error {
	if errors.As(err, new(*http.MaxBytesError)) {
		return err
	}
	return nil
}

func reply(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		klog.ErrorS(err, "Operator response cannot be encoded")
		status, encoded = http.StatusInternalServerError, []byte(`{"Error":{"Type":"ErrInternal","Reason":"response cannot be encoded","RetryAfterMillis":0}}`)
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Content-Type-Options", "nosniff")
	header.Set("Content-Length", strconv.Itoa(len(encoded)+1))
	if failed, ok := body.(Failure); ok && failed.Error.RetryAfterMillis > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64((failed.Error.RetryAfterMillis+clock.Second-1)/clock.Second), 10))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	writer.WriteHeader(status)
	// A failed write means that the caller is gone; it repeats the call with its request key.
	_, _ = writer.Write(append(encoded, '\n'))
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
