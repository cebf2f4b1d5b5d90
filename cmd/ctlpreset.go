package cmd

import (
	"context"

	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

func presetGroup(ctl *ctl) group {
	return group{name: "preset", short: "Presets", commands: []leaf{
		{"list", "List the presets", "Lists the presets and marks the one in force.", &presetList{ctl: ctl}},
		{"set", "Put a preset in force", "Puts a preset in force and prints the configuration version to wait for.", &presetSet{ctl: ctl}},
	}}
}

type presetList struct{ ctl *ctl }

// Execute lists the presets.
func (command *presetList) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.PresetList, error) {
		return client.Presets(ctx)
	}, func(list operator.PresetList) table {
		shown := table{header: []string{"PRESET", "IN FORCE", "OPERATOR", "VERSION", "DESCRIPTION"}}
		for _, preset := range list.Presets {
			if preset.Preset == list.InForce {
				shown.add(string(preset.Preset), "yes", dash(list.Operator), number(list.Version), preset.Description)
				continue
			}
			shown.add(string(preset.Preset), "no", "-", "-", preset.Description)
		}
		return shown
	})
}

type presetSet struct {
	IfVersion  uint64 `long:"if-version" value-name:"VERSION" description:"Fail with a conflict unless the document has this version"`
	Positional struct {
		Preset string `positional-arg-name:"PRESET"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
}

// Execute puts the preset in force.
func (command *presetSet) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetPreset(ctx, operator.PresetChange{
			Preset: ident.Preset(command.Positional.Preset), IfVersion: ident.Version(command.IfVersion),
		})
	}, showAccepted)
}
