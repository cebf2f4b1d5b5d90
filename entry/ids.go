package entry

import (
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// newWrite returns a write id that no other process uses.
func (entry *Entry) newWrite() ident.Write {
	return ident.Write(fmt.Sprintf("%s-%d-w%d", entry.settings.ID, entry.incarnation, entry.idCount.Add(1)))
}

// NewRequest returns a request id that no other process uses.
func (entry *Entry) NewRequest() ident.Request {
	return ident.Request(fmt.Sprintf("%s-%d-r%d", entry.settings.ID, entry.incarnation, entry.idCount.Add(1)))
}

// retention returns how long the claim rows of a service are kept. A service can only lengthen the
// entry's retention, which is at least the longest patience of a request.
func (entry *Entry) retention(name ident.Service) clock.Millis {
	service, _ := entry.configPublisher.Current().Service(name)
	return max(entry.settings.Retention, service.RetentionMillis)
}
