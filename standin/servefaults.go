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

// FaultChange is the body of POST /faults. Faults that are not named stay as they are. The name "*"
// stands for all workers or endpoints. A change is made as a whole or not at all.
type FaultChange struct {
	Table     json.RawMessage                    `json:",omitempty"`
	Objects   json.RawMessage                    `json:",omitempty"`
	Workers   map[ident.Worker]json.RawMessage   `json:",omitempty"`
	Endpoints map[ident.Endpoint]json.RawMessage `json:",omitempty"`
	// RestartWorkers replaces workers by ones without tasks.
	RestartWorkers []ident.Worker `json:",omitempty"`
	// SilenceConnections makes the open connections of endpoints silent for good.
	SilenceConnections []ident.Endpoint `json:",omitempty"`
}

// everyName stands for all workers or endpoints.
const everyName = "*"

// State returns the faults in force.
func (platform *Platform) State() FaultState {
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
	writeJSON(writer, http.StatusOK, server.platform.State())
}

func (server *Server) postFaults(writer http.ResponseWriter, request *http.Request) {
	var change FaultChange
	if !readJSON(writer, request, &change) {
		return
	}
	server.changes.Lock()
	defer server.changes.Unlock()
	steps, err := server.platform.plan(change)
	for _, dry := range []bool{true, false} {
		for _, step := range steps {
			if err == nil {
				err = step(dry)
			}
		}
	}
	if err != nil {
		failure := badRequest{Type: "ErrBadFault", Reason: err.Error()}
		var bad ErrBadFault
		if errors.As(err, &bad) {
			failure.Reason = bad.Reason
		}
		writeJSON(writer, http.StatusBadRequest, failure)
		return
	}
	writeJSON(writer, http.StatusOK, server.platform.State())
}

// step makes a part of a change, or only checks it if dry is true.
type step func(dry bool) error

// plan splits a change into steps. It returns ErrBadFault for an unknown name.
func (platform *Platform) plan(change FaultChange) ([]step, error) {
	var steps []step
	steps = appendMerge(steps, change.Table, platform.Table.Faults, platform.Table.UpdateFaults)
	steps = appendMerge(steps, change.Objects, platform.Objects.Faults, platform.Objects.UpdateFaults)
	for name, raw := range change.Workers {
		runtimes, err := choose(platform.Workers, name)
		if err != nil {
			return nil, err
		}
		for _, runtime := range runtimes {
			steps = appendMerge(steps, raw, runtime.Faults, runtime.UpdateFaults)
		}
	}
	for name, raw := range change.Endpoints {
		endpoints, err := choose(platform.Endpoints, name)
		if err != nil {
			return nil, err
		}
		for _, endpoint := range endpoints {
			steps = appendMerge(steps, raw, endpoint.Faults, endpoint.UpdateFaults)
		}
	}
	for _, name := range change.RestartWorkers {
		runtimes, err := choose(platform.Workers, name)
		if err != nil {
			return nil, err
		}
		steps = appendAction(steps, runtimes, (*Worker).Restart)
	}
	for _, name := range change.SilenceConnections {
		endpoints, err := choose(platform.Endpoints, name)
		if err != nil {
			return nil, err
		}
		steps = appendAction(steps, endpoints, func(endpoint *Endpoint) { endpoint.SilenceConnections() })
	}
	return steps, nil
}

// choose returns the part with the name, or all parts for everyName.
func choose[Name ~string, Part any](parts map[Name]Part, name Name) ([]Part, error) {
	if name != everyName {
		part, ok := parts[name]
		if !ok {
			return nil, ErrBadFault{Reason: fmt.Sprintf("there is no worker or endpoint %q", name)}
		}
		return []Part{part}, nil
	}
	chosen := make([]Part, 0, len(parts))
	for _, key := range set.SortedKeys(parts) {
		chosen = append(chosen, parts[key])
	}
	return chosen, nil
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
	return append(steps, func(dry bool) error {
		if !dry {
			return update(merge)
		}
		faults := get()
		if err := merge(&faults); err != nil {
			return err
		}
		return faults.Valid()
	})
}

func appendAction[Part any](steps []step, parts []Part, act func(Part)) []step {
	return append(steps, func(dry bool) error {
		for _, part := range parts {
			if !dry {
				act(part)
			}
		}
		return nil
	})
}
