package standalone

import (
	"context"
	"sync/atomic"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Regions are two running regions, each with its own stand-in of the platform, and the link between
// their entries.
type Regions struct {
	First, Second *Deployment
	Link          *Link
}

// NewRegions starts two regions whose data centres have different names. Neither has a configuration
// before their entries have reached each other over the link.
func NewRegions(ctx context.Context, first, second Layout) (*Regions, error) {
	// One clock, so that the records of both regions can be compared.
	regions, source := &Regions{Link: newLink()}, clock.NewSystem()
	var running [2]atomic.Pointer[Deployment]
	layouts := [2]*Layout{&first, &second}
	for index, layout := range layouts {
		addresses, err := regions.Link.relayEntries(*layout, running[index].Load)
		if err != nil {
			regions.Close()
			return nil, err
		}
		layouts[1-index].Peers = addresses
	}
	for index, layout := range layouts {
		deployment, err := newDeployment(ctx, *layout, source)
		if err != nil {
			regions.Close()
			return nil, err
		}
		running[index].Store(deployment)
		*[2]**Deployment{&regions.First, &regions.Second}[index] = deployment
	}
	return regions, nil
}

// Close ends everything at once.
func (regions *Regions) Close() {
	regions.Link.Close()
	for _, deployment := range []*Deployment{regions.First, regions.Second} {
		if deployment != nil {
			deployment.Close()
		}
	}
}

// RegionsLayouts returns two small regions that share no data centre, for NewRegions.
func RegionsLayouts() (first, second Layout) {
	first, second = SampleLayout(), SampleLayout()
	first.Region, first.DataCentres = "flanders", []ident.DataCentre{"gent", "kortrijk"}
	second.Region, second.DataCentres, second.Seed = "khomas", []ident.DataCentre{"daan-viljoen", "windhoek"}, 2
	return first, second
}
