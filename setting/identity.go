package setting

import "hyssopjunction/ident"

// Identity is the name and the location of a daemon.
type Identity struct {
	Name       string           `kind:"name" doc:"Name of the daemon, unique among daemons of its role"`
	Region     ident.Region     `kind:"name" doc:"Region of the daemon"`
	DataCentre ident.DataCentre `kind:"name" doc:"Data centre of the daemon"`
	Rack       ident.Rack       `kind:"name" optional:"true" doc:"Rack of the daemon's machine"`
}
