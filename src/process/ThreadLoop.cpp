#include "process/ThreadLoop.h"

#include <ctime>
#include <utility>

#include <boost/asio/post.hpp>
#include <pthread.h>

namespace tarragontray {

namespace {

constexpr std::size_t kMaxThreadName = 15;

} // namespace

ThreadLoop::ThreadLoop(std::string aName)
  : m_name(std::move(aName))
  , m_context(1)
  , m_work(boost::asio::make_work_guard(m_context))
{
}

ThreadLoop::~ThreadLoop()
{
  Stop();
}

void
ThreadLoop::Start()
{
  m_thread = std::thread([this] { m_context.run(); });
  pthread_setname_np(m_thread.native_handle(),
                     m_name.substr(0, kMaxThreadName).c_str());
}

void
ThreadLoop::Stop()
{
  m_context.stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
ThreadLoop::Post(std::function<void()> aTask)
{
  boost::asio::post(m_context, std::move(aTask));
}

Duration
ThreadLoop::ProcessorTime() const
{
  clockid_t clock{};
  timespec time{};
  if (!m_thread.joinable() ||
      pthread_getcpuclockid(m_thread.native_handle(), &clock) != 0 ||
      clock_gettime(clock, &time) != 0) {
    return Duration(0);
  }
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace tarragontray
