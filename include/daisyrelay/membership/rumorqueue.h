// News that still has to be sent, the least sent first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace daisyrelay {

/// Holds each key once, in turns among those that were sent equally often; the content that belongs to a key is read
/// when it is sent.
template <typename Key>
class RumorQueue
{
public:
    /// Adds \p key, or starts its count again; a key that was not sent yet keeps its place.
    void add(const Key &key)
    {
        if (const auto found = places_.find(key); found != places_.end() && found->second.first == 0) {
            return;
        }
        remove(key);
        put(key, 0);
    }

    void remove(const Key &key)
    {
        if (const auto found = places_.find(key); found != places_.end()) {
            order_.erase(found->second);
            places_.erase(found);
        }
    }

    /// Offers the keys to \p trySend, which returns whether it sent one, until \p maxOffers were made.
    /// A key that was sent \p maxTransmissions is removed.
    template <typename TrySend>
    void offer(std::size_t maxTransmissions, std::size_t maxOffers, TrySend trySend)
    {
        std::vector<Key> sent;
        std::size_t offers = 0;
        for (const auto &[place, key] : order_) {
            if (offers++ >= maxOffers) {
                break;
            }
            if (trySend(key)) {
                sent.push_back(key);
            }
        }
        for (const Key &key : sent) {
            const std::size_t count = places_.at(key).first + 1;
            remove(key);
            if (count < maxTransmissions) {
                put(key, count);
            }
        }
    }

    [[nodiscard]] std::size_t size() const
    {
        return places_.size();
    }

private:
    /// How often a key was sent, and its place among the others that were sent as often.
    using Place = std::pair<std::size_t, std::uint64_t>;

    void put(const Key &key, std::size_t count)
    {
        const Place place { count, nextNumber_++ };
        places_.emplace(key, place);
        order_.emplace(place, key);
    }

    std::map<Key, Place> places_;
    std::map<Place, Key> order_;
    std::uint64_t nextNumber_ = 0;
};

} // namespace daisyrelay
