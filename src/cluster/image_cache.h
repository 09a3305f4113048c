// Which images a machine holds, followed from what ran there.
#pragma once
#include <string>
#include <vector>

namespace hareshore {

// Which images a machine has. Reports do not say, so it is followed from what ran there: the least
// recently used go first, as the protocol promises.
class ImageCache {
  public:
    explicit ImageCache(double capacity_gb = 0) : capacity_(capacity_gb) {}
    void set_capacity(double gb) { capacity_ = gb; }
    void use(const std::string& image, double gb);
    bool has(const std::string& image) const;
    void clear() { images_.clear(); }

  private:
    struct Image {
        std::string name;
        double gb;
    };
    double capacity_;
    std::vector<Image> images_;  // most recently used first
};

}  // namespace hareshore
