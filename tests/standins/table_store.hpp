#ifndef CHICORY_TESTS_STANDINS_TABLE_STORE_HPP
#define CHICORY_TESTS_STANDINS_TABLE_STORE_HPP

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace chicory::standin
{

/// The rows of the platform's table service and a log of all transactions. The
/// methods accept and return JSON bodies of the service's interface and throw
/// std::exception if a body is malformed.
class table_store
{
public:
    /// Returns the row, or null if there is none.
    boost::json::value read(const boost::json::value& request);

    /// Returns the rows with a prefix after a key, ordered by key.
    boost::json::object scan(const boost::json::value& request);

    /// Runs a transaction and logs it.
    boost::json::object transact(const boost::json::value& request);

    /// Returns all transactions and the numbers of reads and writes.
    boost::json::object log() const;

private:
    struct row
    {
        std::string value;
        std::int64_t version = 0;
    };

    boost::json::array find_conflicts(const boost::json::array& conditions);
    boost::json::array write(const boost::json::array& writes);
    boost::json::object to_json(const std::string& key) const;

    std::map<std::string, row> rows;
    boost::json::array transactions;
    std::int64_t last_version = 0;
    std::int64_t reads = 0;
    std::int64_t writes = 0;
};

} // namespace chicory::standin

#endif
