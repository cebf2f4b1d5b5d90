package entry

import (
	"k8s.io/klog/v2"

	"hyssopjunction/quota"
	"hyssopjunction/table"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// linkLost is 1 in the entry that pulls while the link to the other region is lost.
	linkLost           = metrics.NewGauge("hyssopjunction_region_link_lost", nil)
	linksLost          = metrics.NewCounter("hyssopjunction_region_link_lost_total")
	linksRestored      = metrics.NewCounter("hyssopjunction_region_link_restored_total")
	regionBytes        = metrics.NewCounter("hyssopjunction_region_pulled_bytes_total")
	applyFailures      = metrics.NewCounter("hyssopjunction_region_apply_failures_total")
	importedDocuments  = metrics.NewCounter("hyssopjunction_region_imported_documents_total")
	transfersSent      = metrics.NewCounter("hyssopjunction_region_transfers_sent_total")
	transfersReceived  = metrics.NewCounter("hyssopjunction_region_transfers_received_total")
	transfersConfirmed = metrics.NewCounter("hyssopjunction_region_transfers_confirmed_total")
)

// linkRegions creates the link to the other region if the settings name one.
func (entry *Entry) linkRegions() {
	if len(entry.settings.Regions) == 0 {
		return
	}
	entry.editor.SetRegion(entry.settings.Region)
	entry.link = newRegionLink(regionDependencies{
		region: entry.settings.Region, peerAddresses: entry.settings.Regions, time: entry.time, store: entry.store,
		connections: entry.connections, editor: entry.editor, publisher: entry.configPublisher, newWrite: entry.newWrite,
		teamRows: entry.teamRows, loadTeam: entry.loadTeam,
		isPuller: func() bool { return entry.configPublisher.Ready() && entry.homedHere(linkJob) },
	})
}

// teamRows returns the teams' rows as last read.
func (entry *Entry) teamRows() []quota.Row {
	var rows []quota.Row
	entry.control.Call(func() {
		for _, team := range entry.quotas.Teams() {
			row, _ := entry.quotas.Row(team)
			rows = append(rows, row)
		}
	})
	return rows
}

// loadTeam stores a team's row that the link wrote.
func (entry *Entry) loadTeam(row table.Row) {
	entry.control.Call(func() {
		if err := entry.quotas.Load(row); err != nil {
			klog.ErrorS(err, "Team's row was not read", "Key", row.Key)
		}
	})
}
