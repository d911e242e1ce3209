package main

import (
	"fmt"
	"strconv"
	"time"

	api "baobabfield.example/api/admin"
)

// timeFormat shows times in UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z"

func formatTime(t time.Time) string { return t.UTC().Format(timeFormat) }

func formatCount(n uint64) string { return strconv.FormatUint(n, 10) }

// describeIntent describes an intent in one line.
func describeIntent(intent api.Intent) string {
	switch intent.Kind {
	case api.IntentKindPutService:
		return fmt.Sprintf("put service %q into force", intent.Service.Value.Name)
	case api.IntentKindRemoveService:
		return fmt.Sprintf("remove service %q", intent.Name.Value)
	case api.IntentKindPutRank:
		return fmt.Sprintf("put rank %q into force", intent.Rank.Value.Name)
	case api.IntentKindRemoveRank:
		return fmt.Sprintf("remove rank %q", intent.Name.Value)
	case api.IntentKindRetire:
		return describeRetirement(intent.Retirement.Value)
	case api.IntentKindCompleteSet:
		return fmt.Sprintf("complete the endpoint set of database %q of service %q", intent.Database.Value, intent.Name.Value)
	case api.IntentKindCancelRetirement:
		return fmt.Sprintf("cancel retirement %q", intent.Name.Value)
	}
	return string(intent.Kind)
}

func describeRetirement(spec api.RetirementSpec) string {
	where := ""
	if spec.Service.Value != "" {
		where = fmt.Sprintf(" of service %q", spec.Service.Value)
	}
	return fmt.Sprintf("retire %s %q%s: retirement %q, phase %s", spec.Kind, spec.Target, where, spec.Name, spec.Phase)
}

func describeWarnings(warnings []api.Warning) []string {
	lines := make([]string, 0, len(warnings))
	for _, w := range warnings {
		lines = append(lines, fmt.Sprintf("%s (%s): %s", w.Kind, w.Object, w.Text))
	}
	return lines
}

func describeVersions(versions []api.ObjectVersion) []string {
	lines := make([]string, 0, len(versions))
	for _, v := range versions {
		lines = append(lines, describeVersion(v))
	}
	return lines
}

func describeVersion(v api.ObjectVersion) string {
	if v.Version == 0 {
		return fmt.Sprintf("%s/%s, which does not exist", v.Kind, v.Name)
	}
	return fmt.Sprintf("%s/%s at version %d", v.Kind, v.Name, v.Version)
}
