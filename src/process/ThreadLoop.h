/// \file
/// A thread that runs its own io_context. It blocks while there is no work.
///
///     ThreadLoop loop("guard");
///     loop.Start();
///     loop.Post([] { ... });   // runs on the loop's thread
///     loop.Stop();
///
/// Thread safety: Post from any thread; Start and Stop from the owner's thread.
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

  /// Starts the thread. Precondition: not started.
  void Start();
  /// Ends the loop after the running handler and joins the thread. Handlers
  /// that are still queued do not run.
  void Stop();
  /// Queues a task to run on the loop's thread.
  void Post(std::function<void()> aTask);

  boost::asio::io_context& Context() { return m_context; }
  /// Returns the processor time that the thread has used; zero before Start.
  Duration ProcessorTime() const;

private:
  std::string m_name;
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_work;
  mutable std::thread m_thread;
};

} // namespace tarragontray
