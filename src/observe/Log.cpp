#include "observe/Log.h"

#include <boost/date_time/posix_time/posix_time_io.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace dragonfly::observe {

namespace logging = boost::log;

void startLog(const std::string& instance)
{
    logging::add_common_attributes();
    logging::add_console_log(std::cerr,
        logging::keywords::format = (logging::expressions::stream
            << logging::expressions::attr<boost::posix_time::ptime>("TimeStamp") << " " << logging::trivial::severity
            << " instance=" << instance << " " << logging::expressions::smessage),
        logging::keywords::auto_flush = true);
}

void logChange(LogLevel level, std::string_view what, std::initializer_list<LogField> fields)
{
    std::string line(what);
    for (const auto& field : fields)
        line.append(" ").append(field.name).append("=").append(field.value);
    switch (level) {
    case LogLevel::Info:
        BOOST_LOG_TRIVIAL(info) << line;
        break;
    case LogLevel::Warning:
        BOOST_LOG_TRIVIAL(warning) << line;
        break;
    case LogLevel::Error:
        BOOST_LOG_TRIVIAL(error) << line;
        break;
    }
}

}
