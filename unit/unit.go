// Package unit defines the types of resource quantities.
package unit

import "fmt"

// MilliCPU is a quantity of processor time in thousandths of a core.
type MilliCPU int64

// Mebibytes is a quantity of memory in MiB.
type Mebibytes int64

// Accelerators is a number of accelerator devices.
type Accelerators int64

// Resources holds the resources that a task needs or that a worker has.
type Resources struct {
	CPU          MilliCPU
	Memory       Mebibytes
	Accelerators Accelerators
}

// Add returns the sum, component by component.
func (resources Resources) Add(other Resources) Resources {
	return Resources{
		CPU:          resources.CPU + other.CPU,
		Memory:       resources.Memory + other.Memory,
		Accelerators: resources.Accelerators + other.Accelerators,
	}
}

// Sub returns the difference, component by component. It may be negative.
func (resources Resources) Sub(other Resources) Resources {
	return Resources{
		CPU:          resources.CPU - other.CPU,
		Memory:       resources.Memory - other.Memory,
		Accelerators: resources.Accelerators - other.Accelerators,
	}
}

// Times returns the resources multiplied by count.
func (resources Resources) Times(count int64) Resources {
	return Resources{
		CPU:          resources.CPU * MilliCPU(count),
		Memory:       resources.Memory * Mebibytes(count),
		Accelerators: resources.Accelerators * Accelerators(count),
	}
}

// FitsIn reports whether no component exceeds that of free.
func (resources Resources) FitsIn(free Resources) bool {
	return resources.CPU <= free.CPU &&
		resources.Memory <= free.Memory &&
		resources.Accelerators <= free.Accelerators
}

// Max returns the maximum, component by component.
func (resources Resources) Max(other Resources) Resources {
	return Resources{
		CPU:          max(resources.CPU, other.CPU),
		Memory:       max(resources.Memory, other.Memory),
		Accelerators: max(resources.Accelerators, other.Accelerators),
	}
}

// Min returns the minimum, component by component.
func (resources Resources) Min(other Resources) Resources {
	return Resources{
		CPU:          min(resources.CPU, other.CPU),
		Memory:       min(resources.Memory, other.Memory),
		Accelerators: min(resources.Accelerators, other.Accelerators),
	}
}

// Negative reports whether any component is below zero.
func (resources Resources) Negative() bool {
	return resources.CPU < 0 || resources.Memory < 0 || resources.Accelerators < 0
}

// IsZero reports whether all components are zero.
func (resources Resources) IsZero() bool {
	return resources == Resources{}
}

// String formats the resources with their units.
func (resources Resources) String() string {
	return fmt.Sprintf("%dm/%dMiB/%dacc", resources.CPU, resources.Memory, resources.Accelerators)
}
