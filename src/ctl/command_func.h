/** @file command_func.h Commands of skylarkctl. */
#pragma once

#include "ctl/ctl_type.h"

namespace skylark {

// Configuration documents (command_document.cpp); word 0 is the document kind, word 2 the name.
ExitCode validateCommand(const CtlOptions &options);
ExitCode diffCommand(const CtlOptions &options);
ExitCode applyCommand(const CtlOptions &options);
ExitCode showCommand(const CtlOptions &options);
ExitCode listCommand(const CtlOptions &options);
ExitCode deleteCommand(const CtlOptions &options);
ExitCode historyCommand(const CtlOptions &options);

// Fleet (command_fleet.cpp).
ExitCode revisionWaitCommand(const CtlOptions &options);
ExitCode hostsCommand(const CtlOptions &options);
ExitCode targetsCommand(const CtlOptions &options);
ExitCode whyCommand(const CtlOptions &options);
ExitCode declineCommand(const CtlOptions &options);

// Structured logs (command_explain.cpp).
ExitCode explainCommand(const CtlOptions &options);

/** Prints the metrics of entry hosts that an operator checks first: rates, latency, status age and configuration version. */
ExitCode topCommand(const CtlOptions &options);

// Jobs (command_job.cpp).
ExitCode jobsCommand(const CtlOptions &options);
ExitCode jobSubmitCommand(const CtlOptions &options);
ExitCode jobWatchCommand(const CtlOptions &options);
ExitCode jobResultsCommand(const CtlOptions &options);
ExitCode jobCancelCommand(const CtlOptions &options);

} // namespace skylark
