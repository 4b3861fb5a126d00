#pragma once

#include <urcu/urcu-memb.h>

#include <memory>
#include <utility>

namespace papayaline {

/// Registers the calling thread with RCU for the lifetime of this object.
class RcuReader
{
public:
  RcuReader() { urcu_memb_register_thread(); }
  ~RcuReader() { urcu_memb_unregister_thread(); }
  RcuReader(const RcuReader&) = delete;
  RcuReader& operator=(const RcuReader&) = delete;
};

/// An immutable value published by read-copy-update. Readers never wait; a
/// writer waits until no reader uses the value that it replaces.
template<typename T>
class RcuCell
{
public:
  RcuCell() = default;
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;
  ~RcuCell() { delete mValue; }

  /// Calls aFunction with the current value and returns its result.
  /// Precondition: the thread has an RcuReader and a value is published.
  /// Thread safety: any registered thread; aFunction must not block.
  template<typename Function>
  auto Read(Function aFunction) const
  {
    urcu_memb_read_lock();
    struct Unlock
    {
      ~Unlock() { urcu_memb_read_unlock(); }
    } unlock;
    return aFunction(std::as_const(*rcu_dereference(mValue)));
  }

  /// Replaces the value and deletes the previous one after its last reader.
  /// Thread safety: one writer at a time, not within Read.
  void Publish(std::unique_ptr<T> aValue)
  {
    T* old = rcu_xchg_pointer(&mValue, aValue.release());
    urcu_memb_synchronize_rcu();
    delete old;
  }

private:
  T* mValue = nullptr;
};

}
