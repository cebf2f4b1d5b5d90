package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// FaultState is the response to GET /faults: the faults in force.
type FaultState struct {
	Table     StoreFaults
	Objects   StoreFaults
	Workers   map[ident.Worker]WorkerFaults
	Endpoints map[ident.Endpoint]EndpointFaults
}

// FaultChange is the body of POST /faults. Faults that are not named keep their values. The name
// "*" selects all workers or endpoints. A change is applied completely or not at all.
type FaultChange struct {
	Table     json.RawMessage                    `json:",omitempty"`
	Objects   json.RawMessage                    `json:",omitempty"`
	Workers   map[ident.Worker]json.RawMessage   `json:",omitempty"`
	Endpoints map[ident.Endpoint]json.RawMessage `json:",omitempty"`
	// RestartWorkers lists the workers to replace by ones without tasks.
	RestartWorkers []ident.Worker `json:",omitempty"`
	// SilenceConnections lists the endpoints whose open connections become silent for good.
	SilenceConnections []ident.Endpoint `json:",omitempty"`
}

// allNames selects all workers or endpoints.
const allNames = "*"

// Faults returns the faults in force.
func (platform *Platform) Faults() FaultState {
	state := FaultState{
		Table:     platform.Table.Faults(),
		Objects:   platform.Objects.Faults(),
		Workers:   make(map[ident.Worker]WorkerFaults),
		Endpoints: make(map[ident.Endpoint]EndpointFaults),
	}
	for name, runtime := range platform.Workers {
		state.Workers[name] = runtime.Faults()
	}
	for name, endpoint := range platform.Endpoints {
		state.Endpoints[name] = endpoint.Faults()
	}
	return state
}

func (server *Server) getFaults(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, server.platform.Faults())
}

func (server *Server) postFaults(writer http.ResponseWriter, request *http.Request) {
	var change FaultChange
	if !readJSON(writer, request, &change) {
		return
	}
	server.faultsMutex.Lock()
	defer server.faultsMutex.Unlock()
	steps, err := server.platform.plan(change)
	for _, dryRun := range []bool{true, false} {
		for _, step := range steps {
			if err == nil {
				err = step(dryRun)
			}
		}
	}
	if err != nil {
		failure := badRequest{Type: "ErrBadFault", Reason: err.Error()}
		var fault ErrBadFault
		if errors.As(err, &fault) {
			failure.Reason = fault.Reason
		}
		writeJSON(writer, http.StatusBadRequest, failure)
		return
	}
	writeJSON(writer, http.StatusOK, server.platform.Faults())
}

// step applies a part of a change, or only validates it if dryRun is true.
type step func(dryRun bool) error

// plan splits a change into steps. It fails with ErrBadFault for an unknown name.
func (platform *Platform) plan(change FaultChange) ([]step, error) {
	var steps []step
	steps = appendMerge(steps, change.Table, platform.Table.Faults, platform.Table.UpdateFaults)
	steps = appendMerge(steps, change.Objects, platform.Objects.Faults, platform.Objects.UpdateFaults)
	for name, raw := range change.Workers {
		runtimes, err := selectByName(platform.Workers, name)
		if err != nil {
			return nil, err
		}
		for _, runtime := range runtimes {
			steps = appendMerge(steps, raw, runtime.Faults, runtime.UpdateFaults)
		}
	}
	for name, raw := range change.Endpoints {
		endpoints, err := selectByName(platform.Endpoints, name)
		if err != nil {
			return nil, err
		}
		for _, endpoint := range endpoints {
			steps = appendMerge(steps, raw, endpoint.Faults, endpoint.UpdateFaults)
		}
	}
	for _, name := range change.RestartWorkers {
		runtimes, err := selectByName(platform.Workers, name)
		if err != nil {
			return nil, err
		}
		steps = appendAction(steps, runtimes, (*Worker).Restart)
	}
	for _, name := range change.SilenceConnections {
		endpoints, err := selectByName(platform.Endpoints, name)
		if err != nil {
			return nil, err
		}
		steps = appendAction(steps, endpoints, func(endpoint *Endpoint) { endpoint.SilenceConnections() })
	}
	return steps, nil
}

// selectByName returns the part with the name, or all parts for allNames.
func selectByName[Name ~string, Part any](parts map[Name]Part, name Name) ([]Part, error) {
	if name != allNames {
		part, ok := parts[name]
		if !ok {
			return nil, ErrBadFault{Reason: fmt.Sprintf("there is no worker or endpoint %q", name)}
		}
		return []Part{part}, nil
	}
	selected := make([]Part, 0, len(parts))
	for _, key := range set.SortedKeys(parts) {
		selected = append(selected, parts[key])
	}
	return selected, nil
}

func appendMerge[Faults interface{ Valid() error }](
	steps []step, raw json.RawMessage, get func() Faults, update func(func(*Faults) error) error,
) []step {
	if raw == nil {
		return steps
	}
	merge := func(faults *Faults) error {
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(faults); err != nil {
			return ErrBadFault{Reason: err.Error()}
		}
		return nil
	}
	return append(steps, func(dryRun bool) error {
		if !dryRun {
			return update(merge)
		}
		faults := get()
		if err := merge(&faults); err != nil {
			return err
		}
		return faults.Valid()
	})
}

func appendAction[Part any](steps []step, parts []Part, action func(Part)) []step {
	return append(steps, func(dryRun bool) error {
		for _, part := range parts {
			if !dryRun {
				action(part)
			}
		}
		return nil
	})
}
