package standalone

import (
	"context"
	"sync/atomic"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Regions holds two running regions, each with its own stand-in of the platform, and the link between
// their entries.
type Regions struct {
	First, Second *Deployment
	Link          *Link
}

// NewRegions starts two regions, whose data centres must have different names. Neither region has a
// configuration until their entries have reached each other over the link.
func NewRegions(ctx context.Context, first, second Layout) (*Regions, error) {
	// Both regions use one clock, so that the times in their records can be compared.
	regions, source := &Regions{Link: newLink()}, clock.NewSystem()
	var deployments [2]atomic.Pointer[Deployment]
	layouts := [2]*Layout{&first, &second}
	for index, layout := range layouts {
		addresses, err := regions.Link.relayEntries(*layout, deployments[index].Load)
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
		deployments[index].Store(deployment)
		*[2]**Deployment{&regions.First, &regions.Second}[index] = deployment
	}
	return regions, nil
}

// Close closes the link and ends both regions at once.
func (regions *Regions) Close() {
	regions.Link.Close()
	for _, deployment := range []*Deployment{regions.First, regions.Second} {
		if deployment != nil {
			deployment.Close()
		}
	}
}

// RegionsLayouts returns the layouts of two small regions without a common data centre, for
// NewRegions.
func RegionsLayouts() (first, second Layout) {
	first, second = SampleLayout(), SampleLayout()
	first.Region, first.DataCentres = "flanders", []ident.DataCentre{"gent", "kortrijk"}
	second.Region, second.DataCentres, second.Seed = "khomas", []ident.DataCentre{"daan-viljoen", "windhoek"}, 2
	return first, second
}
