#include "transport/logging.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <csignal>
#include <memory>

#include "transport/line_output.hpp"

namespace planktray::transport {
namespace {

std::string& common_fields() {
  static std::string fields;
  return fields;
}

/// Quotes values that contain spaces, quotes or line ends, so that each record stays on one line.
std::string quoted(const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"\n\r\t=") == std::string::npos) {
    return value;
  }
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c == '\n' || c == '\r' ? ' ' : c;
  }
  return out + "\"";
}

std::string line(std::string_view event, std::initializer_list<LogField> fields) {
  std::string text = "event=" + std::string(event) + common_fields();
  for (const auto& [name, value] : fields) {
    text += " " + std::string(name) + "=" + quoted(value);
  }
  return text;
}

/// Writes to standard output without blocking.
class OutputAppender : public log4cplus::Appender {
 public:
  ~OutputAppender() override { destructorImpl(); }
  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    (void)output_.write(formatEvent(event));  // dropped lines are reported before a later line
  }

 private:
  LineOutput output_{STDOUT_FILENO};
};

}  // namespace

void start_logging(const std::string& program, const std::string& instance) {
  static const log4cplus::Initializer kInitializer;
  std::signal(SIGPIPE, SIG_IGN);  // a closed pipe must not end the process
  common_fields() = " program=" + program + " instance=" + instance;
  log4cplus::SharedAppenderPtr appender(new OutputAppender());
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n")));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void log_event(std::string_view event, std::initializer_list<LogField> fields) {
  LOG4CPLUS_INFO(log4cplus::Logger::getRoot(), line(event, fields));
}

void log_error(std::string_view event, const common::Error& error) {
  LOG4CPLUS_ERROR(log4cplus::Logger::getRoot(),
                  line(event, {{"code", std::string(common::to_string(error.code))},
                               {"step", error.step},
                               {"peer", error.peer},
                               {"message", error.message}}));
}

}  // namespace planktray::transport
