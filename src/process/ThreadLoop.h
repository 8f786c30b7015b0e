/// \file
/// A thread with its own io_context. It sleeps while there is nothing to do.
///
///     ThreadLoop loop("guard");
///     loop.Start();
///     loop.Post([] { ... });   // runs on the loop's thread
///     loop.Stop();
///
/// Thread safety: Post from any thread; Start and Stop from the owner.
#pragma once

#include <functional>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "base/Units.h"

namespace tarragontray {

/// See the file comment.
class ThreadLoop
{
public:
  explicit ThreadLoop(std::string aName);
  ~ThreadLoop();
  ThreadLoop(const ThreadLoop&) = delete;
  ThreadLoop& operator=(const ThreadLoop&) = delete;

  /// Precondition: not started.
  void Start();
  /// Ends the loop after the handler that runs now, and joins the thread.
  void Stop();
  void Post(std::function<void()> aTask);

  boost::asio::io_context& Context() { return m_context; }
  /// Processor time that the thread has used. Zero before Start.
  Duration ProcessorTime() const;

private:
  std::string m_name;
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_work;
  mutable std::thread m_thread;
};

} // namespace tarragontray
