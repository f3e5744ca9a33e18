package main

// tableCommand groups the subcommands for the table.
type tableCommand struct {
	Check   *tableCheckCommand   `arg:"subcommand:check" help:"report every finding of a table file with row and column"`
	Diff    *tableDiffCommand    `arg:"subcommand:diff" help:"show what a table file would change"`
	Publish *tablePublishCommand `arg:"subcommand:publish" help:"publish a table file as the next version"`
	Show    *tableShowCommand    `arg:"subcommand:show" help:"show a version; by default the one in force"`
	History *tableHistoryCommand `arg:"subcommand:history" help:"show the last publications and what became of them"`
}
