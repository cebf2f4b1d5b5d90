package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/quota"
	"hyssopjunction/table"
)

const (
	// linkInterval is the time between two pulls, and maxLinkInterval that while the link is down. The
	// latter leaves 3 s of the 7 s in which configuration is in force everywhere for the pull, the
	// import and the readers' poll once the link is back.
	linkInterval    = clock.Second
	maxLinkInterval = 4 * clock.Second
	// linkTimeout bounds one call to the other region, and importTimeout what one reply takes.
	linkTimeout   = 3 * clock.Second
	importTimeout = 10 * clock.Second
	// maxPages bounds the replies that are taken one after the other without a pause.
	maxPages = 64
	// linkHome is hashed to choose the entry of a region that pulls.
	linkHome ident.Job = "Region/link"
)

// regionDependencies are what a regionLink needs of its entry.
type regionDependencies struct {
	region ident.Region
	// peers are control addresses of entries of the other region.
	peers       []string
	time        clock.Clock
	store       table.Store
	connections Connections
	editor      *config.Editor
	publisher   *config.Publisher
	newWrite    func() ident.Write
	// rows returns the teams' rows as last read, and load takes over a row that was written.
	rows func() []quota.Row
	load func(table.Row)
	// home reports whether this entry is the one of its region that pulls.
	home func() bool
}

// regionLink imports the configuration of the other region and moves quota between both. Everything
// it keeps in memory can be lost: documents are imported by their versions, and transfers are
// counted in the teams' rows.
type regionLink struct {
	regionDependencies

	// The fields below belong to the goroutine that calls step.
	next     int
	peer     ident.Region
	imported ident.Version
	interval clock.Millis
	lost     bool
	lostAt   clock.Time
	failing  bool

	mu     sync.Mutex
	served int
}

func newRegionLink(dependencies regionDependencies) *regionLink {
	return &regionLink{regionDependencies: dependencies, interval: linkInterval}
}

// ErrSameRegion reports a call between entries of the same region, which [Regions] must not name.
type ErrSameRegion struct {
	Region  ident.Region
	Address string
}

// Error names the region.
func (err ErrSameRegion) Error() string {
	return fmt.Sprintf("entry %s is of region %s too", err.Address, err.Region)
}

// run pulls until quit is closed.
func (link *regionLink) run(quit <-chan struct{}) {
	for {
		wait := link.step()
		select {
		case <-link.time.After(wait):
		case <-quit:
			return
		}
	}
}

// step pulls once, and again while the other region has more to tell, and returns the time to the
// next step.
func (link *regionLink) step() clock.Millis {
	if !link.home() {
		link.leave()
		return linkInterval
	}
	for range maxPages {
		reply, err := link.pull()
		if err != nil {
			return link.down(err)
		}
		link.up()
		more, err := link.apply(reply)
		if err != nil {
			applyFailures.Inc()
			if !link.failing {
				// Only the first of a series is logged.
				link.failing = true
				klog.ErrorS(err, "Other region's state was not applied", "Region", link.peer)
			}
			return linkInterval
		}
		link.failing = false
		if !more {
			break
		}
	}
	return linkInterval
}

// pull asks the next entry of the other region.
func (link *regionLink) pull() (*controlpb.PullReply, error) {
	address := link.peers[link.next%len(link.peers)]
	client, err := link.connections.Entry(address)
	if err != nil {
		link.next++
		return nil, err
	}
	request := &controlpb.PullRequest{
		Region: string(link.region), FromRegion: string(link.peer), AboveVersion: uint64(link.imported),
		OpenTeams: openTeams(link.rows(), link.peer),
	}
	ctx, cancel := context.WithTimeout(context.Background(), linkTimeout.Duration())
	defer cancel()
	reply, err := client.Pull(ctx, request, grpc.MaxCallRecvMsgSize(maxReplyBytes))
	if err == nil && reply.GetRegion() == string(link.region) {
		err = ErrSameRegion{Region: link.region, Address: address}
	}
	if err != nil {
		// The connection may be silent, so the next attempt dials anew and asks another entry.
		link.connections.Discard(address)
		link.next++
		return nil, err
	}
	regionBytes.Add(proto.Size(request) + proto.Size(reply))
	return reply, nil
}

// apply takes over a reply and reports whether the other region has more documents.
func (link *regionLink) apply(reply *controlpb.PullReply) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), importTimeout.Duration())
	defer cancel()
	if peer := ident.Region(reply.GetRegion()); peer != link.peer {
		// The request named another region, whose version says nothing about this one.
		link.peer, link.imported = peer, 0
	}
	if err := link.bootstrap(ctx, reply); err != nil {
		return false, err
	}
	complete, err := link.importConfig(ctx, reply.GetConfig())
	if err != nil {
		return false, err
	}
	for _, team := range reply.GetTeams() {
		if err := link.move(ctx, team); err != nil {
			klog.V(1).InfoS("Quota was not moved", "Team", team.GetTeam(), "Region", link.peer, "Reason", err.Error())
		}
	}
	return complete && reply.GetConfig().GetToVersion() < reply.GetVersion(), nil
}

// importConfig imports the documents and reports whether nothing of them remains to be imported. Only
// then the next pull asks for newer ones.
func (link *regionLink) importConfig(ctx context.Context, delta *controlpb.ConfigDelta) (bool, error) {
	if len(delta.GetDocuments()) > 0 {
		count, err := link.editor.Import(ctx, delta)
		if err != nil {
			return false, err
		}
		// Another entry may have imported at the same time, and its documents may not be known here.
		if !link.publisher.Current().Imported(link.region, delta) {
			return false, nil
		}
		if count > 0 {
			importedDocuments.Add(count)
			klog.InfoS("Documents of the other region imported", "Region", link.peer, "Documents", count, "Version", delta.GetToVersion())
		}
	}
	link.imported = max(link.imported, ident.Version(delta.GetToVersion()))
	return true, nil
}

// bootstrap writes the default presets if neither region has a configuration. The region with the
// lower name does so, and the other one imports them, because a document has one home region.
func (link *regionLink) bootstrap(ctx context.Context, reply *controlpb.PullReply) error {
	if !link.publisher.Ready() || link.publisher.Version() > 0 || len(reply.GetConfig().GetDocuments()) > 0 {
		return nil
	}
	if reply.GetVersion() == 0 && link.region > link.peer {
		return nil
	}
	return link.editor.Bootstrap(ctx, bootstrapOperator)
}

// down notes that the link is lost and returns the time to the next attempt.
func (link *regionLink) down(err error) clock.Millis {
	if !link.lost {
		link.lost, link.lostAt = true, link.time.Now()
		linksLost.Inc()
		linkLost.Set(1)
		klog.ErrorS(err, "Link to the other region is lost", "Region", link.peer)
	}
	wait := link.interval
	link.interval = min(2*link.interval, maxLinkInterval)
	return wait
}

// up notes that the link works.
func (link *regionLink) up() {
	link.interval = linkInterval
	if !link.lost {
		return
	}
	link.lost = false
	linksRestored.Inc()
	linkLost.Set(0)
	klog.InfoS("Link to the other region is back", "Region", link.peer, "LostMillis", int64(link.time.Now().Sub(link.lostAt)))
}

// leave forgets the state of the link, which another entry watches from now on.
func (link *regionLink) leave() {
	if link.lost {
		link.lost = false
		linkLost.Set(0)
	}
	link.interval = linkInterval
}

// IsErrSameRegion reports whether err is or wraps an ErrSameRegion.
func IsErrSameRegion(err error) bool {
	return errors.As(err, new(ErrSameRegion))
}
