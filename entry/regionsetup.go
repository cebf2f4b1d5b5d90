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

// linkRegions prepares the link to the other region, if the settings name one.
func (entry *Entry) linkRegions() {
	if len(entry.settings.Regions) == 0 {
		return
	}
	entry.editor.SetRegion(entry.settings.Region)
	entry.link = newRegionLink(regionDependencies{
		region: entry.settings.Region, peers: entry.settings.Regions, time: entry.time, store: entry.store,
		connections: entry.connections, editor: entry.editor, publisher: entry.publisher, newWrite: entry.newWrite,
		rows: entry.teamRows, load: entry.loadTeam,
		home: func() bool { return entry.publisher.Ready() && entry.mine(linkHome) },
	})
}

// teamRows returns the teams' rows as last read.
func (entry *Entry) teamRows() []quota.Row {
	var rows []quota.Row
	entry.control.Call(func() {
		for _, team := range entry.accounts.Teams() {
			row, _ := entry.accounts.Row(team)
			rows = append(rows, row)
		}
	})
	return rows
}

// loadTeam takes over a team's row that the link wrote.
func (entry *Entry) loadTeam(row table.Row) {
	entry.control.Call(func() {
		if err := entry.accounts.Load(row); err != nil {
			klog.ErrorS(err, "Team's row was not read", "Key", row.Key)
		}
	})
}
