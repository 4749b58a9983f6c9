/** @file command_explain.cpp Command of skylarkctl that explains a request, job or item from structured log lines. */
#include "ctl/command_func.h"
#include "explain/explain_func.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace skylark {

ExitCode explainCommand(const CtlOptions &options)
{
    const std::string id = options.word(1);
    if (id.empty()) {
        std::cerr << "explain needs the identifier of a request, job or item\n";
        return ExitCode::Usage;
    }
    std::vector<LogLine> lines;
    if (options.file.empty() || options.file == "-") {
        readLogLines(std::cin, lines);
    } else {
        std::istringstream names(options.file);
        for (std::string name; std::getline(names, name, ',');) {
            std::ifstream file(name);
            if (!file) {
                std::cerr << "cannot read " << name << "\n";
                return ExitCode::Usage;
            }
            readLogLines(file, lines);
        }
    }
    const Explanation explanation = explain(lines, id);
    for (const LogLine &line : explanation.lines) {
        std::cout << formatLogLine(line, explanation.lines.front().timeMs) << '\n';
    }
    std::cout << "cause: " << explanation.cause << '\n';
    return explanation.lines.empty() ? ExitCode::Refused : ExitCode::Ok;
}

} // namespace skylark
