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
	// pullInterval is the time between two pulls, and maxRetryInterval the longest one while the
	// link is down. Once the link works again, configuration must be in force everywhere within
	// 7 s; after the longest interval, 3 s remain for the pull, the import and the readers' poll.
	pullInterval     = clock.Second
	maxRetryInterval = 4 * clock.Second
	// pullTimeout bounds one call to the other region, and importTimeout the import of one reply.
	pullTimeout   = 3 * clock.Second
	importTimeout = 10 * clock.Second
	// maxPullsPerStep bounds the pulls that follow each other without a pause.
	maxPullsPerStep = 64
	// linkJob is a job name whose home entry is the one that pulls for its region.
	linkJob ident.Job = "Region/link"
)

// regionDependencies are the parts of an entry that a regionLink uses.
type regionDependencies struct {
	region ident.Region
	// peerAddresses are control addresses of entries of the other region.
	peerAddresses []string
	time          clock.Clock
	store         table.Store
	connections   Connections
	editor        *config.Editor
	publisher     *config.Publisher
	newWrite      func() ident.Write
	// teamRows returns the teams' rows as last read, and loadTeam stores a row that was written.
	teamRows func() []quota.Row
	loadTeam func(table.Row)
	// isPuller reports whether this entry is the one that pulls for its region.
	isPuller func() bool
}

// regionLink imports the configuration of the other region and transfers quota between both
// regions. Its state in memory may be lost at any time: documents are imported by their versions,
// and transfers are numbered in the teams' rows.
type regionLink struct {
	regionDependencies

	// The fields below belong to the goroutine that calls step.
	nextPeer        int
	peer            ident.Region
	importedVersion ident.Version
	retryInterval   clock.Millis
	lost            bool
	lostAt          clock.Time
	applyFailing    bool

	mu         sync.Mutex
	replyCount int
}

func newRegionLink(dependencies regionDependencies) *regionLink {
	return &regionLink{regionDependencies: dependencies, retryInterval: pullInterval}
}

// ErrSameRegion reports a call to an entry of the same region, which the setting Regions must not
// list.
type ErrSameRegion struct {
	Region  ident.Region
	Address string
}

// Error names the entry and the region.
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

// step pulls until the other region has no more documents, and returns the time to the next step.
func (link *regionLink) step() clock.Millis {
	if !link.isPuller() {
		link.reset()
		return pullInterval
	}
	for range maxPullsPerStep {
		reply, err := link.pull()
		if err != nil {
			return link.recordFailure(err)
		}
		link.recordSuccess()
		more, err := link.apply(reply)
		if err != nil {
			applyFailures.Inc()
			if !link.applyFailing {
				// Only the first of consecutive failures is logged.
				link.applyFailing = true
				klog.ErrorS(err, "Other region's state was not applied", "Region", link.peer)
			}
			return pullInterval
		}
		link.applyFailing = false
		if !more {
			break
		}
	}
	return pullInterval
}

// pull calls an entry of the other region. After a failure the next call goes to the next address.
func (link *regionLink) pull() (*controlpb.PullReply, error) {
	address := link.peerAddresses[link.nextPeer%len(link.peerAddresses)]
	client, err := link.connections.Entry(address)
	if err != nil {
		link.nextPeer++
		return nil, err
	}
	request := &controlpb.PullRequest{
		Region: string(link.region), FromRegion: string(link.peer), AboveVersion: uint64(link.importedVersion),
		OpenTeams: openTeams(link.teamRows(), link.peer),
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout.Duration())
	defer cancel()
	reply, err := client.Pull(ctx, request, grpc.MaxCallRecvMsgSize(maxReplyBytes))
	if err == nil && reply.GetRegion() == string(link.region) {
		err = ErrSameRegion{Region: link.region, Address: address}
	}
	if err != nil {
		// Closes the connection, which may be silent, so that the next attempt dials again.
		link.connections.Discard(address)
		link.nextPeer++
		return nil, err
	}
	regionBytes.Add(proto.Size(request) + proto.Size(reply))
	return reply, nil
}

// apply imports a reply and reports whether the other region has more documents.
func (link *regionLink) apply(reply *controlpb.PullReply) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), importTimeout.Duration())
	defer cancel()
	if peer := ident.Region(reply.GetRegion()); peer != link.peer {
		// The request named another region, so importedVersion is not a version of this one.
		link.peer, link.importedVersion = peer, 0
	}
	if err := link.bootstrap(ctx, reply); err != nil {
		return false, err
	}
	complete, err := link.importConfig(ctx, reply.GetConfig())
	if err != nil {
		return false, err
	}
	for _, team := range reply.GetTeams() {
		if err := link.transferQuota(ctx, team); err != nil {
			klog.V(1).InfoS("Quota was not transferred", "Team", team.GetTeam(), "Region", link.peer, "Reason", err.Error())
		}
	}
	return complete && reply.GetConfig().GetToVersion() < reply.GetVersion(), nil
}

// importConfig imports the documents and reports whether all of them are imported. Only then does
// the next pull ask for newer ones.
func (link *regionLink) importConfig(ctx context.Context, delta *controlpb.ConfigDelta) (bool, error) {
	if len(delta.GetDocuments()) > 0 {
		count, err := link.editor.Import(ctx, delta)
		if err != nil {
			return false, err
		}
		// Another entry may import at the same time, and this one may not have read its documents
		// yet.
		if !link.publisher.Current().IsImported(link.region, delta) {
			return false, nil
		}
		if count > 0 {
			importedDocuments.Add(count)
			klog.InfoS("Documents of the other region imported", "Region", link.peer, "Documents", count, "Version", delta.GetToVersion())
		}
	}
	link.importedVersion = max(link.importedVersion, ident.Version(delta.GetToVersion()))
	return true, nil
}

// bootstrap writes the default presets if neither region has a configuration. Only the region with
// the lower name does so, because a document has one home region; the other one imports them.
func (link *regionLink) bootstrap(ctx context.Context, reply *controlpb.PullReply) error {
	if !link.publisher.Ready() || link.publisher.Version() > 0 || len(reply.GetConfig().GetDocuments()) > 0 {
		return nil
	}
	if reply.GetVersion() == 0 && link.region > link.peer {
		return nil
	}
	return link.editor.Bootstrap(ctx, bootstrapOperator)
}

// recordFailure marks the link as lost and returns the time to the next attempt.
func (link *regionLink) recordFailure(err error) clock.Millis {
	if !link.lost {
		link.lost, link.lostAt = true, link.time.Now()
		linksLost.Inc()
		linkLost.Set(1)
		klog.ErrorS(err, "Link to the other region is lost", "Region", link.peer)
	}
	wait := link.retryInterval
	link.retryInterval = min(2*link.retryInterval, maxRetryInterval)
	return wait
}

// recordSuccess marks the link as working.
func (link *regionLink) recordSuccess() {
	link.retryInterval = pullInterval
	if !link.lost {
		return
	}
	link.lost = false
	linksRestored.Inc()
	linkLost.Set(0)
	klog.InfoS("Link to the other region is back", "Region", link.peer, "LostMillis", int64(link.time.Now().Sub(link.lostAt)))
}

// reset clears the failure state of the link when another entry has become the one that pulls.
func (link *regionLink) reset() {
	if link.lost {
		link.lost = false
		linkLost.Set(0)
	}
	link.retryInterval = pullInterval
}

// IsErrSameRegion reports whether err is or wraps an ErrSameRegion.
func IsErrSameRegion(err error) bool {
	return errors.As(err, new(ErrSameRegion))
}
