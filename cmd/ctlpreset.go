package cmd

import (
	"context"

	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

func presetGroup(options *ctlOptions) commandGroup {
	return commandGroup{name: "preset", short: "Presets", commands: []commandSpec{
		{"list", "List the presets", "Lists the presets and marks the one in force.", &presetList{options: options}},
		{"set", "Put a preset in force", "Puts a preset in force and prints the configuration version to wait for.", &presetSet{options: options}},
	}}
}

type presetList struct{ options *ctlOptions }

// Execute lists the presets.
func (command *presetList) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.PresetList, error) {
		return client.Presets(ctx)
	}, func(list operator.PresetList) table {
		output := table{header: []string{"PRESET", "IN FORCE", "OPERATOR", "VERSION", "DESCRIPTION"}}
		for _, preset := range list.Presets {
			if preset.Preset == list.InForce {
				output.add(string(preset.Preset), "yes", dashIfEmpty(list.Operator), formatNumber(list.Version), preset.Description)
				continue
			}
			output.add(string(preset.Preset), "no", "-", "-", preset.Description)
		}
		return output
	})
}

type presetSet struct {
	IfVersion  uint64 `long:"if-version" value-name:"VERSION" description:"Fail with a conflict unless the document has this version"`
	Positional struct {
		Preset string `positional-arg-name:"PRESET"`
	} `positional-args:"yes" required:"yes"`

	options *ctlOptions
}

// Execute puts the preset in force.
func (command *presetSet) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetPreset(ctx, operator.PresetChange{
			Preset: ident.Preset(command.Positional.Preset), IfVersion: ident.Version(command.IfVersion),
		})
	}, acceptedTable)
}
