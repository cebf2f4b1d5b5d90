package standin

import (
	"net/http"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Report is the response to GET /records. RunList and Executions are included only if the query has
// Runs=true and Executions=true.
type Report struct {
	// Now is the time on the clock of all records.
	Now        clock.Time
	Violations Violations
	Runs       RunCounts
	Table      TableCounts
	Objects    ObjectsCounts
	Endpoints  map[ident.Endpoint]EndpointRecords
	RunList    []Run                          `json:",omitempty"`
	Executions map[ident.Endpoint][]Execution `json:",omitempty"`
}

// Report returns the counts so far.
func (platform *Platform) Report() Report {
	report := Report{
		Now:        platform.Clock.Now(),
		Violations: platform.Records.Violations(),
		Runs:       platform.Records.Counts(),
		Table:      platform.Table.Counts(),
		Objects:    platform.Objects.Counts(),
		Endpoints:  make(map[ident.Endpoint]EndpointRecords),
	}
	for name, endpoint := range platform.Endpoints {
		report.Endpoints[name] = endpoint.Records()
	}
	return report
}

func (server *Server) getRecords(writer http.ResponseWriter, request *http.Request) {
	report := server.platform.Report()
	query := request.URL.Query()
	if query.Get("Runs") == "true" {
		report.RunList = server.platform.Records.Runs()
	}
	if query.Get("Executions") == "true" {
		report.Executions = make(map[ident.Endpoint][]Execution)
		for name, endpoint := range server.platform.Endpoints {
			report.Executions[name] = endpoint.Executions()
		}
	}
	writeJSON(writer, http.StatusOK, report)
}

// HasViolations reports whether the records show a violation by a task or at an endpoint.
func (report Report) HasViolations() bool {
	for _, records := range report.Endpoints {
		if records.DoubledRuns+records.SlotViolations+records.ConnectionViolations > 0 {
			return true
		}
	}
	return report.Violations.HasViolations()
}
