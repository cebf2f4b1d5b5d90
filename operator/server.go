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

// Prefix is the path prefix of the operators' API.
const Prefix = "/operator/v1"

// RequestKeyHeader is the header with the request id of a change.
const RequestKeyHeader = "Request-Key"

// Settings configure a Server.
type Settings struct {
	// Credentials are used if Tokens is nil.
	Credentials []Credential
	// Tokens holds credentials that can change while the server runs.
	Tokens *Tokens
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// TimeoutMillis limits the time of one call. Wait may take its patience in addition.
	TimeoutMillis clock.Millis
	// MaxWaitMillis limits the patience of Wait.
	MaxWaitMillis clock.Millis
	// MaxPage limits the number of items on a page.
	MaxPage int
}

// Defaults returns the default settings, without credentials.
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
	// Without SkipClean the router redirects paths that are not clean, and clients take a redirect for an
	// unknown outcome.
	server := &Server{settings: settings, control: control, tokens: tokens, set: set, router: mux.NewRouter().UseEncodedPath().SkipClean(true)}
	server.registerRoutes()
	return server, nil
}

// ServeHTTP answers one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.router.ServeHTTP(writer, request)
}

// NotReady returns a handler that refuses every call with ErrRetryLater. It checks no credentials, because
// the response holds nothing but the reason.
func NotReady(reason string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		status, body := errorResponse(ErrRetryLater{Reason: reason, RetryAfter: clock.Second})
		writeResponse(writer, status, body)
	})
}

// register registers a call. A call that changes something needs a request key and a credential that is
// not read-only.
func register[Result any](server *Server, method, path string, changes bool, serve func(request *http.Request, call Call) (Result, error)) {
	route := server.router.Path(Prefix + path).Methods(method)
	route.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(writer, request.Body, server.settings.MaxBodyBytes)
		call, err := server.authorize(request, changes)
		var result Result
		if err == nil {
			result, err = serve(request, call)
			err = translate(err, call.Request)
		}
		status := http.StatusOK
		var body any = result
		if err != nil {
			status, body = errorResponse(err)
		}
		server.set.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_operator_calls_total{Method=%q,Path=%q,Status="%d"}`, method, path, status)).Inc()
		if changes || status >= http.StatusInternalServerError {
			klog.InfoS("Operator call", "Method", method, "Path", request.URL.Path, "Operator", call.Operator,
				"Request", call.Request, "Status", status, "Error", errorText(err))
		}
		writeResponse(writer, status, body)
	})
}

// authorize authenticates the request and, for a change, checks the permission and reads the request key.
func (server *Server) authorize(request *http.Request, changes bool) (Call, error) {
	credential, err := server.tokens.current().identify(request)
	if err != nil {
		return Call{}, err
	}
	call := Call{Operator: credential.operator}
	if !changes {
		return call, nil
	}
	if credential.readOnly {
		return call, ErrDenied{Reason: "the token permits reading only", Known: true}
	}
	call.Request = ident.Request(request.Header.Get(RequestKeyHeader))
	if !ident.Valid(call.Request) {
		malformed := call.Request
		call.Request = ""
		return call, ErrBadRequest{Field: RequestKeyHeader, Reason: fmt.Sprintf("%q is not an identifier", malformed)}
	}
	return call, nil
}

// callContext returns the request's context with the timeout of one call.
func (server *Server) callContext(request *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(request.Context(), server.settings.TimeoutMillis.Duration())
}

// decode reads the request's body, which must be exactly one JSON object without unknown fields. It fails
// with ErrBadRequest or ErrTooLarge.
func decode(request *http.Request, body any) error {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(body)
	if err == nil {
		if _, trailingErr := decoder.Token(); !errors.Is(trailingErr, io.EOF) {
			err = errors.Join(ErrBadRequest{Reason: "body holds more than one JSON value"}, maxBytesErrorOnly(trailingErr))
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return ErrTooLarge{Limit: tooLarge.Limit}
	case IsErrBadRequest(err):
		return err
	default:
		return ErrBadRequest{Reason: "body is not the expected JSON object: " + err.Error()}
	}
}

// maxBytesErrorOnly returns err if it reports a body that is too large, and nil otherwise.
func maxBytesErrorOnly(err error) error {
	if errors.As(err, new(*http.MaxBytesError)) {
		return err
	}
	return nil
}

func writeResponse(writer http.ResponseWriter, status int, body any) {
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
	if failure, ok := body.(Failure); ok && failure.Error.RetryAfterMillis > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64((failure.Error.RetryAfterMillis+clock.Second-1)/clock.Second), 10))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	writer.WriteHeader(status)
	// If the write fails, the client has disconnected; it can repeat the call with its request key.
	_, _ = writer.Write(append(encoded, '\n'))
}

// errorText returns the text of err, which may be nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
