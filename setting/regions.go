package setting

import (
	"fmt"

	"hyssopjunction/set"
)

// Regions holds the entries of the other region in a system with two regions.
type Regions struct {
	Entries []string `kind:"address" optional:"true" doc:"Control addresses of a few entries of the other region, best in different data centres; empty if the system has one region"`
}

// check reports addresses that are given twice or are the entry's own.
func (regions Regions) check(reader *reader, listen EntryListen) {
	seen := set.New[string]()
	for index, address := range regions.Entries {
		key := fmt.Sprintf("Regions.Entries[%d]", index)
		reader.require(seen.Add(address), []string{key}, "%s is given twice", address)
		reader.require(address != listen.Control && address != listen.AdvertiseControl, []string{key, "Listen.Control", "Listen.AdvertiseControl"},
			"%s is the entry's own control address", address)
	}
}
