/** @file job_record_func.h JSON forms of job records. */
#pragma once

#include "control/snapshot_type.h"
#include "core/result_type.h"

#include <boost/json.hpp>

namespace skylark {

/** Parses the value of the key "job/<id>". */
[[nodiscard]] Result<JobRecord> jobFromRecord(JobId id, std::string_view text, KvVersion version);

/** @return A job as peers relay it: the record with its id and version. */
[[nodiscard]] boost::json::object jobToJson(const JobRecord &job);

/** Parses a relayed job. */
[[nodiscard]] Result<JobRecord> jobFromJson(const boost::json::value &value);

} // namespace skylark
