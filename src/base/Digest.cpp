#include "base/Digest.h"

#include <QCryptographicHash>
#include <QRandomGenerator>
#include <array>
#include <xxhash.h>

namespace dragonfly {

std::string sha256(std::string_view bytes)
{
    const QByteArrayView view(bytes.data(), static_cast<qsizetype>(bytes.size()));
    QCryptographicHash hash(QCryptographicHash::Sha256);
    hash.addData(view);
    return hash.result().toStdString();
}

std::string toHex(std::string_view bytes)
{
    return QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())).toHex().toStdString();
}

uint64_t fastHash(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned char difference = 0;
    for (size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i] ^ right[i]);
    return !difference;
}

std::string randomId()
{
    std::array<quint32, 4> words;
    QRandomGenerator::system()->fillRange(words.data(), words.size());
    return toHex(std::string_view(reinterpret_cast<const char*>(words.data()), sizeof(words)));
}

}
