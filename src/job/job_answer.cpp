/** @file job_answer.cpp Answers to requests of callers on jobs. */
#include "job/job_answer_func.h"

namespace skylark {

JobAnswer makeJobAnswer(int status, std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter)
{
    JobAnswer answer;
    answer.status = status;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    return answer;
}

JobAnswer storeUnavailable()
{
    return makeJobAnswer(503, "store_unavailable", storeRetryAfter);
}

JobAnswer missingJob(const Result<bool> &exists)
{
    return isOk(exists) ? makeJobAnswer(404, "no_job") : storeUnavailable();
}

} // namespace skylark
