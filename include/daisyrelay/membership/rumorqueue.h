// News that still has to be sent, the least sent first.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace daisyrelay {

/// Holds each key once; the content that belongs to a key is read when it is sent.
template <typename Key>
class RumorQueue
{
public:
    /// Adds \p key, or starts its count again.
    void add(const Key &key)
    {
        remove(key);
        sent_.emplace(key, 0);
        order_.emplace(0, key);
    }

    void remove(const Key &key)
    {
        if (const auto found = sent_.find(key); found != sent_.end()) {
            order_.erase({ found->second, key });
            sent_.erase(found);
        }
    }

    /// Offers the keys to \p take, which returns whether it sent one, until \p mostOffers were made.
    /// A key that was sent \p mostTimes is removed.
    template <typename Take>
    void offer(std::size_t mostTimes, std::size_t mostOffers, Take take)
    {
        std::vector<Key> taken;
        std::size_t offers = 0;
        for (const auto &[count, key] : order_) {
            if (offers++ >= mostOffers) {
                break;
            }
            if (take(key)) {
                taken.push_back(key);
            }
        }
        for (const Key &key : taken) {
            const std::size_t count = sent_.at(key) + 1;
            remove(key);
            if (count < mostTimes) {
                sent_.emplace(key, count);
                order_.emplace(count, key);
            }
        }
    }

    [[nodiscard]] std::size_t size() const
    {
        return sent_.size();
    }

    [[nodiscard]] bool contains(const Key &key) const
    {
        return sent_.contains(key);
    }

private:
    std::map<Key, std::size_t> sent_;
    std::set<std::pair<std::size_t, Key>> order_;
};

} // namespace daisyrelay
